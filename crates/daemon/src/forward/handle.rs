use super::{
    answer::{Body, GatewayError},
    call::Call,
    dispatch::{MEMORY_RETRY_AFTER, dispatch, respond_stopping},
    forwarder::Forwarder,
    request_record::RequestRecord,
};
use crate::{
    caller_memory::{BodyError, BodyLimits, HeldBody, read_body},
    http_server::CallerConnection,
};
use cassiagw_core::forwarding::{ForwardSettings, KeyOwner, MemoryUser, Route, suspect_parts};
use cassiagw_platform::{CallerHead, caller_head};
use hyper::{
    HeaderMap, Request, Response, StatusCode, Version,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
    http::request::Parts,
};
use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32},
    },
    time::{Duration, Instant},
};
use tokio::time::timeout;

/// Value of `Retry-After` while the daemon has no settings.
const NO_SETTINGS_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Fraction of the caller's time, as a divisor, for which a request may wait for the first settings
/// after a start.
const SETTINGS_WAIT_DIVISOR: u32 = 4;
/// Time of a caller that sends no deadline, while the route is not known.
const DEFAULT_CALLER_TIME: Duration = Duration::from_secs(10);

/// Handles one request from a caller. While draining, the response closes the connection.
pub async fn handle(
    fw: Arc<Forwarder>,
    connection: Arc<CallerConnection>,
    req: Request<Incoming>,
) -> Response<Body> {
    let mut closes = fw.is_draining();
    let (parts, mut body) = req.into_parts();
    let response = match read_call(&fw, connection, parts, &mut body).await {
        Ok(call) => answer(fw, Arc::new(call)).await,
        Err((id, error)) => {
            fw.request_log.write_refusal(&id, error.status.as_u16(), &error.message);
            closes |= fw.caller_memory.discard(body);
            error.response()
        }
    };
    match closes {
        true => with_connection_close(response),
        false => response,
    }
}

/// Answers a call before the process ends: what a daemon that drains can no longer do is refused at
/// once, and what still runs when its time is over is told to have an unknown outcome.
async fn answer(fw: Arc<Forwarder>, call: Arc<Call>) -> Response<Body> {
    if !fw.takes(call.route.target_latency) {
        return respond_stopping(&call);
    }
    tokio::select! {
        biased;
        response = dispatch(fw.clone(), call.clone()) => response,
        () = fw.must_answer() => respond_stopping(&call),
    }
}

fn with_connection_close(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Matches the route of a request and authenticates its key, then reads its body. The error carries
/// the request ID for the log, `-` if the head is invalid.
async fn read_call(
    fw: &Forwarder,
    connection: Arc<CallerConnection>,
    parts: Parts,
    body: &mut Incoming,
) -> Result<Call, (String, GatewayError)> {
    let arrival = Instant::now();
    let head = caller_head(&parts.headers).map_err(|error| {
        let error = GatewayError::new(StatusCode::BAD_REQUEST, "bad_head", error.to_string());
        ("-".to_owned(), error)
    })?;
    let id = head.id.clone();
    let with_id = |error| (id.clone(), error);
    wait_for_start(fw, head.time_left.unwrap_or(DEFAULT_CALLER_TIME)).await;
    let settings = fw.state().settings.clone();
    if settings.version == 0 {
        return Err(with_id(no_settings()));
    }
    let route = find_route(&settings, &parts.headers, parts.uri.path()).map_err(with_id)?;
    let owner = find_owner(&settings, &route, &head).map_err(with_id)?;
    let time = head.time_left.unwrap_or(route.timeout).min(route.timeout);
    // A stream that is resumed goes to the service that began it, also if the route has several.
    let service = route.service(cassiagw_core::ids::stable_hash(head.stream_id().as_bytes()));
    let service = service.and_then(|name| settings.services.get(name));
    let Some(service) = service.cloned() else {
        return Err(with_id(GatewayError::new(
            StatusCode::BAD_GATEWAY,
            "no_service",
            format!("the route {} names no known service", route.name),
        )));
    };
    let limits = BodyLimits {
        max_bytes: settings.limits.max_body_bytes,
        deadline: arrival + time,
        copies: 1,
    };
    let user = || MemoryUser {
        workspace: owner.as_ref().map(|owner| owner.workspace.clone()).unwrap_or_default(),
        has_key: owner.is_some() || settings.keys.is_none(),
        address: connection.address,
    };
    let read = read_body(&fw.caller_memory, user, body, limits).await;
    let HeldBody { content: body, lease } =
        read.map_err(|error| with_id(body_error(&error, limits.max_bytes)))?;
    Ok(Call {
        arrival,
        deadline: arrival + time,
        method: parts.method,
        uri: parts.uri,
        takes_chunks: parts.version >= Version::HTTP_11,
        headers: parts.headers,
        suspect_parts: head.prompt.as_ref().map(suspect_parts).unwrap_or_default(),
        head,
        body,
        lease,
        connection,
        route,
        service,
        owner,
        settings,
        whole: OnceLock::new(),
        is_sent: AtomicBool::new(false),
        stream_version: OnceLock::new(),
        placements: AtomicU32::new(0),
        record: RequestRecord::new(fw.request_log.clone(), fw.metrics.clone(), arrival),
    })
}

/// Waits after a start until requests may be sent, limited to a fraction of the caller's time.
async fn wait_for_start(fw: &Forwarder, time_left: Duration) {
    let mut may_send = fw.may_send.subscribe();
    let started = may_send.wait_for(|may_send| *may_send);
    // If the settings are still missing, the request is refused with `no_settings`.
    let _ = timeout(time_left / SETTINGS_WAIT_DIVISOR, started).await;
}

fn no_settings() -> GatewayError {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    GatewayError::new(status, "no_settings", "this daemon has no settings yet")
        .with_retry_after(NO_SETTINGS_RETRY_AFTER)
}

fn find_route(
    settings: &ForwardSettings,
    headers: &HeaderMap,
    path: &str,
) -> Result<Arc<Route>, GatewayError> {
    let mut hosts = headers.get_all(HOST).iter();
    let host = hosts.next().and_then(|host| host.to_str().ok());
    let host = host.filter(|_| hosts.next().is_none()).ok_or_else(|| {
        GatewayError::new(StatusCode::BAD_REQUEST, "bad_host", "one Host field is needed")
    })?;
    settings.routes.find(host, path).cloned().ok_or_else(|| {
        let message = format!("no route of host {host} begins path {path}");
        GatewayError::new(StatusCode::NOT_FOUND, "no_route", message)
    })
}

fn find_owner(
    settings: &ForwardSettings,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<KeyOwner>, GatewayError> {
    let Some(keys) = settings.keys.as_ref().filter(|_| !route.is_public) else { return Ok(None) };
    let owner = head.key.as_ref().and_then(|key| keys.get(key)).cloned();
    owner.map(Some).ok_or_else(|| {
        GatewayError::new(StatusCode::UNAUTHORIZED, "unknown_key", "the key is missing or unknown")
    })
}

/// Answer to a request whose body was not read. The request did not run.
fn body_error(error: &BodyError, max_bytes: usize) -> GatewayError {
    let (status, code) = match error {
        BodyError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        BodyError::Unreadable(_) => (StatusCode::BAD_REQUEST, "bad_body"),
        BodyError::TimedOut => (StatusCode::REQUEST_TIMEOUT, "body_timeout"),
        BodyError::Stalled => (StatusCode::REQUEST_TIMEOUT, "body_stalled"),
        BodyError::NoMemory(_) => (StatusCode::SERVICE_UNAVAILABLE, "not_run"),
    };
    match error {
        BodyError::TooLarge => {
            let message = format!("the body is larger than max_body_bytes ({max_bytes})");
            GatewayError::new(status, code, message)
        }
        BodyError::NoMemory(_) => {
            GatewayError::new(status, code, error.to_string()).with_retry_after(MEMORY_RETRY_AFTER)
        }
        _ => GatewayError::new(status, code, error.to_string()),
    }
}

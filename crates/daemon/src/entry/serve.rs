use super::{
    EntryContext, calls, completions,
    http::{
        ApiError, Body, ErrorCode, REQUEST_ID, RequestKind, authenticate, classify, full_body,
        read_body, request_id,
    },
};
use crate::{
    caller_memory::HeldBody,
    http_server::{CallerConnection, ConnectionLimit, serve_until},
    operators,
};
use cassiagw_core::forwarding::MemoryUser;
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode, body::Incoming, header::HeaderValue, http::request::Parts,
    server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, sync::Arc};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// Maximum number of header fields in a request.
const MAX_HEADER_FIELDS: usize = 64;

/// Serves callers and operators until the daemon drains, then waits for running requests up to
/// `limits.drain_timeout`.
pub async fn serve(listener: TcpListener, entry: Arc<EntryContext>) {
    let limits = &entry.cx.cfg.limits;
    let limit = ConnectionLimit {
        max_connections: limits.max_connections as usize,
        setting: "limits.max_connections",
    };
    let mut draining = entry.cx.draining.subscribe();
    let connection = |stream, caller| connection(stream, caller, entry.clone());
    let drain_end = async { sleep(limits.drain_timeout).await };
    serve_until(listener, limit, wait_for_drain(&mut draining), connection, drain_end).await;
}

/// Waits until the daemon starts to drain.
async fn wait_for_drain(draining: &mut watch::Receiver<bool>) {
    // An error would mean that the sender was dropped; it lives as long as the daemon.
    let _ = draining.wait_for(|draining| *draining).await;
}

fn connection(
    stream: TcpStream,
    caller: Arc<CallerConnection>,
    entry: Arc<EntryContext>,
) -> http1::Connection<
    TokioIo<TcpStream>,
    impl hyper::service::HttpService<Incoming, ResBody = Body, Error = Infallible, Future: Send>,
> {
    let limits = &entry.cx.cfg.limits;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(MAX_HEADER_FIELDS)
        // hyper panics if the buffer is smaller than 8192 bytes.
        .max_buf_size((limits.max_head_bytes as usize).max(8_192));
    let service = service_fn(move |req| {
        let (entry, caller) = (entry.clone(), caller.clone());
        async move { Ok::<_, Infallible>(handle(entry, caller, req).await) }
    });
    builder.serve_connection(TokioIo::new(stream), service)
}

async fn handle(
    entry: Arc<EntryContext>,
    connection: Arc<CallerConnection>,
    req: Request<Incoming>,
) -> Response<Body> {
    let id = request_id(req.headers());
    let cx = entry.cx.clone();
    cx.metrics.add_running(1);
    let result = route(entry, connection, req, &id).await;
    cx.metrics.add_running(-1);
    let mut response = result.unwrap_or_else(|error| {
        let code = error.code_name();
        cx.metrics.count_request(&code);
        log::info!(event = "request_refused", request = id, code = code; "{}", error.message);
        error.response()
    });
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

async fn route(
    entry: Arc<EntryContext>,
    connection: Arc<CallerConnection>,
    req: Request<Incoming>,
    id: &str,
) -> Result<Response<Body>, ApiError> {
    let kind = classify(req.method(), req.uri())?;
    match kind {
        RequestKind::Health => return Ok(Response::new(full_body("ok\n"))),
        RequestKind::Ready => return ready(&entry),
        RequestKind::Operators => {
            return Ok(operators::route(&entry.operators, req)
                .await
                .map(|body| body.map_err(|never| match never {}).boxed()));
        }
        RequestKind::Completion | RequestKind::Call { .. } => {}
    }
    let (head, mut body) = req.into_parts();
    match serve_call(&entry, connection, kind, head, &mut body, id).await {
        Ok(response) => Ok(response),
        Err(error) => Err(error.with_close(entry.memory.discard(body))),
    }
}

/// Serves a request of a caller: checks its head before its body is read.
async fn serve_call(
    entry: &Arc<EntryContext>,
    connection: Arc<CallerConnection>,
    kind: RequestKind,
    head: Parts,
    body: &mut Incoming,
    id: &str,
) -> Result<Response<Body>, ApiError> {
    let view = entry.cx.view();
    // A service call may repeat an earlier one, whose outcome can be returned without current
    // settings.
    if !view.is_current && kind == RequestKind::Completion {
        return Err(unavailable("the settings of this entry are not current"));
    }
    let caller = authenticate(&head.headers, &view.tree, entry.cx.unix_now())?;
    if let RequestKind::Call { service, .. } = &kind {
        calls::check_access(entry, &caller, service)?;
    }
    let user = || MemoryUser {
        workspace: caller.workspace.clone(),
        has_key: true,
        address: connection.address,
    };
    let held = read_body(&entry.memory, user, body, &entry.cx.cfg.limits).await?;
    match kind {
        RequestKind::Call { service, path } => {
            let HeldBody { content: body, lease } = held;
            let call = calls::CallRequest { service, path, head, body, lease };
            calls::handle(entry.clone(), connection, caller, call).await
        }
        _ => completions::handle(entry.clone(), caller, id, held).await,
    }
}

fn ready(entry: &EntryContext) -> Result<Response<Body>, ApiError> {
    if entry.cx.is_draining() {
        let message = "the entry is shutting down";
        return Err(ApiError::new(
            StatusCode::SERVICE_UNAVAILABLE,
            ErrorCode::ShuttingDown,
            message,
        ));
    }
    let view = entry.cx.view();
    if !view.is_current || view.tree.revision == 0 {
        return Err(unavailable("the entry has no current settings"));
    }
    Ok(Response::new(full_body("ready\n")))
}

fn unavailable(message: &str) -> ApiError {
    ApiError::new(StatusCode::SERVICE_UNAVAILABLE, ErrorCode::Unavailable, message)
}

use crate::entry::{
    EntryContext,
    dispatch::{Attempt, OpenError, pick_endpoint},
    http::{ApiError, Body, ErrorCode, full_body},
};
use bytes::Bytes;
use cassiagw_core::{
    ids::{EndpointId, FastSet},
    settings::{Caller, EndpointKind, Priority},
};
use cassiagw_rpc::{End, HttpAnswer, OpenRequest, Ran, Work};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
    http::request::Parts,
};
use std::sync::Arc;

/// Header field of the caller's key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Call of a plain service as it arrived.
pub struct CallRequest {
    /// Plain service, named like a model in the settings.
    pub service: String,
    /// Path and query at the service, starting with `/`.
    pub path: String,
    /// Head of the HTTP request.
    pub head: Parts,
    /// Body, whole.
    pub body: Bytes,
}

/// Serves one call; it is sent on only while it is proven not to have run before.
pub async fn handle(
    entry: Arc<EntryContext>,
    caller: Caller,
    call: CallRequest,
) -> Result<Response<Body>, ApiError> {
    check_access(&entry, &caller, &call.service)?;
    let mut excluded: FastSet<EndpointId> = FastSet::default();
    loop {
        let view = entry.cx.view();
        let (id, endpoint) = pick_endpoint(&view, &entry.pool, &call.service, &excluded)
            .ok_or_else(|| {
                let message = format!("no endpoint of {:?} takes work", call.service);
                ApiError::new(StatusCode::SERVICE_UNAVAILABLE, ErrorCode::Overloaded, message)
            })?;
        let open = open_request(&entry, &caller, &call, &id);
        match Attempt::open(&entry.pool, endpoint.rpc, open).await {
            Ok(mut attempt) => match wait_for_end(&mut attempt).await {
                End::Failed { ran: Ran::NotRun, .. } => {}
                end => return answer(&entry, end),
            },
            Err(OpenError::Unknown(error)) => return Err(unknown(&error)),
            Err(OpenError::NotSent(_) | OpenError::Refused(_)) => {}
        }
        excluded.insert(id);
    }
}

fn check_access(entry: &EntryContext, caller: &Caller, service: &str) -> Result<(), ApiError> {
    let view = entry.cx.view();
    let is_service =
        view.tree.models.get(service).is_some_and(|model| model.kind == EndpointKind::Service);
    if !is_service {
        let message = format!("there is no plain service {service:?}");
        return Err(ApiError::new(StatusCode::NOT_FOUND, ErrorCode::UnknownModel, message));
    }
    let access = view.tree.access.get(&caller.team);
    if !access.is_some_and(|access| access.models.contains(service)) {
        let message = format!("team {} may not use {service:?}", caller.team);
        return Err(ApiError::new(StatusCode::FORBIDDEN, ErrorCode::Forbidden, message));
    }
    Ok(())
}

fn open_request(
    entry: &EntryContext,
    caller: &Caller,
    call: &CallRequest,
    endpoint: &EndpointId,
) -> OpenRequest {
    let text = |name: &str| Some(call.head.headers.get(name)?.to_str().ok()?.to_owned());
    OpenRequest {
        attempt: entry.new_attempt(),
        endpoint: endpoint.clone(),
        boot: None,
        revision: entry.cx.view().tree.revision,
        workspace: caller.workspace.clone(),
        model: call.service.as_str().into(),
        adapter: None,
        version: None,
        priority: Priority::Interactive,
        time_left: entry.cx.cfg.limits.request_timeout,
        pieces: Vec::new(),
        work: Work::Call {
            method: call.head.method.to_string(),
            path: call.path.clone(),
            content_type: text(CONTENT_TYPE.as_str()),
            body: call.body.to_vec(),
            idempotency_key: text(IDEMPOTENCY_KEY).map(Into::into),
        },
    }
}

async fn wait_for_end(attempt: &mut Attempt<'_>) -> End {
    loop {
        match attempt.pull().await {
            Ok((_, Some(end))) => return end,
            Ok((_, None)) => {}
            Err(error) => return End::Failed { ran: Ran::Unknown, message: error.to_string() },
        }
    }
}

fn answer(entry: &EntryContext, end: End) -> Result<Response<Body>, ApiError> {
    match end {
        End::Answer(answer) => {
            entry.cx.metrics.count_request("ok");
            Ok(service_answer(answer))
        }
        End::Failed { message, .. } => Err(unknown(&message)),
        End::Finished { .. } => Err(unknown("the endpoint answered with a completion")),
    }
}

fn service_answer(answer: HttpAnswer) -> Response<Body> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = answer.content_type.and_then(|text| HeaderValue::from_str(&text).ok());
    response.headers_mut().extend(content_type.map(|value| (CONTENT_TYPE, value)));
    response
}

fn unknown(message: &str) -> ApiError {
    ApiError::new(StatusCode::GATEWAY_TIMEOUT, ErrorCode::OutcomeUnknown, message)
        .with_ran(Ran::Unknown)
}

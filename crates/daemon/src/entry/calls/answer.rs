use crate::entry::http::{ApiError, Body, ErrorCode};
use bytes::Bytes;
use cassiagw_core::claims::{Answer, Body as StoredBody, CallReply, FailureReason};
use cassiagw_rpc::RunStatus;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};

/// Response header that marks an answer stored for an earlier request with the same idempotency
/// key.
const IDEMPOTENCY_REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// Converts the result of a call into the HTTP response for the caller; `hold` makes the body of an
/// answer.
///
/// # Errors
/// The call produced no answer; the error says whether it ran, if that is known.
pub fn response(
    reply: CallReply,
    service: &str,
    hold: impl FnOnce(Bytes) -> Body,
) -> Result<Response<Body>, ApiError> {
    match reply {
        CallReply::Answer { answer, is_replay } => Ok(service_answer(answer, is_replay, hold)),
        CallReply::Failed { reason, not_run } => Err(call_error(reason, not_run, service)),
    }
}

fn service_answer(
    answer: Answer,
    is_replay: bool,
    hold: impl FnOnce(Bytes) -> Body,
) -> Response<Body> {
    let body = match answer.body {
        StoredBody::Whole(body) => body,
        StoredBody::Digest { .. } => Vec::new(),
    };
    let mut response = Response::new(hold(body.into()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = answer.content_type.and_then(|text| HeaderValue::from_str(&text).ok());
    let headers = response.headers_mut();
    headers.extend(content_type.map(|value| (CONTENT_TYPE, value)));
    headers.extend(is_replay.then(|| (IDEMPOTENCY_REPLAYED, HeaderValue::from_static("true"))));
    response
}

fn call_error(reason: FailureReason, not_run: Option<bool>, service: &str) -> ApiError {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let (status, code, message) = match reason {
        FailureReason::KeyConflict => (
            StatusCode::UNPROCESSABLE_ENTITY,
            ErrorCode::KeyConflict,
            "the Idempotency-Key was already used for a different request".to_owned(),
        ),
        FailureReason::ClaimsUnavailable => (
            unavailable,
            ErrorCode::Unavailable,
            "claims cannot be recorded now; repeat with the same Idempotency-Key".to_owned(),
        ),
        FailureReason::NoEndpoint => (
            unavailable,
            ErrorCode::Overloaded,
            format!("no endpoint of {service:?} accepts requests"),
        ),
        FailureReason::Refused => (
            unavailable,
            ErrorCode::Overloaded,
            format!("every endpoint of {service:?} refused the request"),
        ),
        FailureReason::OutcomeUnknown => (
            StatusCode::GATEWAY_TIMEOUT,
            ErrorCode::OutcomeUnknown,
            "it is unknown whether the request ran".to_owned(),
        ),
        FailureReason::AnswerNotKept => (
            StatusCode::CONFLICT,
            ErrorCode::AnswerNotKept,
            "the request ran, but its answer was too large to store".to_owned(),
        ),
    };
    let ran = match not_run {
        Some(true) => RunStatus::NotRun,
        Some(false) => RunStatus::Run,
        None => RunStatus::Unknown,
    };
    ApiError::new(status, code, message).with_ran(ran)
}

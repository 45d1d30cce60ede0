use super::{ApiError, ErrorCode};
use crate::{
    caller_memory::{self, BodyError, BodyLimits, CallerMemory, HeldBody, discard_rest},
    config::Limits,
};
use bytes::Bytes;
use cassiagw_core::forwarding::MemoryUser;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{StatusCode, body::Incoming};
use std::{sync::Arc, time::Instant};
use thiserror::Error;
use tokio::time::timeout_at;

/// Size up to which a body that exceeds `limits.max_body` is still read and discarded, as a multiple
/// of that limit.
const MAX_DISCARD_RATIO: usize = 4;
/// Number of times that a body is in memory at most: as received, in the message to an endpoint
/// daemon, and serialized.
const BODY_COPIES: usize = 3;
/// Value of `Retry-After` while there is no memory, in seconds.
const MEMORY_RETRY_AFTER_S: u32 = 2;

/// Body of a response. An error aborts the connection, so that a truncated body cannot be taken for
/// a complete one.
pub type Body = BoxBody<Bytes, IncompleteBody>;

/// Aborts a response whose body is incomplete.
#[derive(Clone, Copy, Debug, Error)]
#[error("the response body is incomplete")]
pub struct IncompleteBody;

/// Creates a body whose complete content is known.
pub fn full_body(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).map_err(|never| match never {}).boxed()
}

/// Reads the body of a request within the configured limits of size, time and memory.
///
/// The rest of a body that is too large is read and discarded, up to a limit, because a caller that
/// is still sending when its connection closes may not receive the error.
///
/// # Errors
/// The body is too large, arrived too slowly, could not be read or found no memory.
pub async fn read_body(
    memory: &Arc<CallerMemory>,
    user: impl FnOnce() -> MemoryUser,
    body: &mut Incoming,
    limits: &Limits,
) -> Result<HeldBody, ApiError> {
    let max_bytes = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    let deadline = Instant::now() + limits.body_timeout;
    let body_limits = BodyLimits { max_bytes, deadline, copies: BODY_COPIES };
    match caller_memory::read_body(memory, user, body, body_limits).await {
        Ok(held) => Ok(held),
        Err(error) => {
            if matches!(error, BodyError::TooLarge) {
                let discard = discard_rest(body, max_bytes.saturating_mul(MAX_DISCARD_RATIO));
                // The request is refused in any case.
                let _ = timeout_at(deadline.into(), discard).await;
            }
            Err(body_error(&error, max_bytes))
        }
    }
}

/// Answer to a request whose body was not read. The request did not run.
fn body_error(error: &BodyError, max_bytes: usize) -> ApiError {
    match error {
        BodyError::TooLarge => {
            let message = format!("the body is larger than limits.max_body ({max_bytes} bytes)");
            ApiError::new(StatusCode::PAYLOAD_TOO_LARGE, ErrorCode::BodyTooLarge, message)
        }
        BodyError::Unreadable(error) => {
            let message = format!("failed to read the body: {error}");
            ApiError::new(StatusCode::BAD_REQUEST, ErrorCode::BadRequest, message)
        }
        BodyError::TimedOut => {
            let message = "the body did not arrive within limits.body_timeout";
            ApiError::new(StatusCode::REQUEST_TIMEOUT, ErrorCode::BodyTimeout, message)
        }
        BodyError::Stalled => {
            let message = error.to_string();
            ApiError::new(StatusCode::REQUEST_TIMEOUT, ErrorCode::BodyTimeout, message)
        }
        BodyError::NoMemory(_) => no_memory(error.to_string()),
    }
}

/// Refusal of a request for which there is no memory now.
pub fn no_memory(message: String) -> ApiError {
    ApiError::new(StatusCode::SERVICE_UNAVAILABLE, ErrorCode::Overloaded, message)
        .with_retry_after_s(MEMORY_RETRY_AFTER_S)
}

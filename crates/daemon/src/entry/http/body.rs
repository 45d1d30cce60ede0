use super::{ApiError, ErrorCode};
use crate::config::Limits;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::BoxBody};
use hyper::{StatusCode, body::Incoming};
use thiserror::Error;
use tokio::time::timeout;

/// Body of a response; an error cuts the connection, so that a part cannot look whole.
pub type Body = BoxBody<Bytes, StreamCut>;

/// Ends a response before its whole body was sent.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer could not be completed")]
pub struct StreamCut;

/// A body that is known in full.
pub fn full_body(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).map_err(|never| match never {}).boxed()
}

/// Reads a request's body within the limits of size and time.
pub async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, ApiError> {
    let limited = Limited::new(body, limits.max_body_bytes as usize);
    match timeout(limits.body_timeout, limited.collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ApiError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            ErrorCode::BodyTooLarge,
            format!("the body is larger than limits.max_body ({} bytes)", limits.max_body_bytes),
        )),
        Ok(Err(error)) => Err(ApiError::new(
            StatusCode::BAD_REQUEST,
            ErrorCode::BadRequest,
            format!("the body cannot be read: {error}"),
        )),
        Err(_) => Err(ApiError::new(
            StatusCode::REQUEST_TIMEOUT,
            ErrorCode::BodyTimeout,
            "the body did not arrive within limits.body_timeout",
        )),
    }
}

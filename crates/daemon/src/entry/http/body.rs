use super::{ApiError, ErrorCode};
use crate::config::Limits;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{StatusCode, body::Incoming};
use thiserror::Error;
use tokio::time::timeout;

/// Size up to which a body that exceeds `limits.max_body` is still read and discarded, as a multiple
/// of that limit.
const MAX_DISCARD_RATIO: u64 = 4;

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

/// Reads the body of a request within the configured limits of size and time.
///
/// The rest of a body that is too large is read and discarded, up to a limit, because a caller that
/// is still sending when its connection closes may not receive the error.
///
/// # Errors
/// The body is too large, arrived too slowly or could not be read.
pub async fn read_body(mut body: Incoming, limits: &Limits) -> Result<Bytes, ApiError> {
    timeout(limits.body_timeout, collect(&mut body, limits.max_body_bytes)).await.unwrap_or_else(
        |_| {
            Err(ApiError::new(
                StatusCode::REQUEST_TIMEOUT,
                ErrorCode::BodyTimeout,
                "the body did not arrive within limits.body_timeout",
            ))
        },
    )
}

async fn collect(body: &mut Incoming, max_bytes: u64) -> Result<Bytes, ApiError> {
    let mut content = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(read_error)?.into_data().unwrap_or_default();
        length += data.len() as u64;
        if length <= max_bytes {
            content.extend_from_slice(&data);
        }
        if length > max_bytes.saturating_mul(MAX_DISCARD_RATIO) {
            break;
        }
    }
    if length > max_bytes {
        let message = format!("the body is larger than limits.max_body ({max_bytes} bytes)");
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Err(ApiError::new(status, ErrorCode::BodyTooLarge, message));
    }
    Ok(content.freeze())
}

fn read_error(error: hyper::Error) -> ApiError {
    let message = format!("failed to read the body: {error}");
    ApiError::new(StatusCode::BAD_REQUEST, ErrorCode::BadRequest, message)
}

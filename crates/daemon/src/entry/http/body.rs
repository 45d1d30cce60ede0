use super::{ApiError, ErrorCode};
use crate::config::Limits;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{StatusCode, body::Incoming};
use thiserror::Error;
use tokio::time::timeout;

/// Largest body that is read to its end, though refused, as a multiple of the largest one taken.
const MAX_DROPPED_RATIO: u64 = 4;

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
///
/// The rest of a body that is too large is read and dropped, up to a bound, since a caller that is
/// still sending when its connection closes may never see the error.
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
    let mut kept = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(unreadable)?.into_data().unwrap_or_default();
        length += data.len() as u64;
        if length <= max_bytes {
            kept.extend_from_slice(&data);
        }
        if length > max_bytes.saturating_mul(MAX_DROPPED_RATIO) {
            break;
        }
    }
    if length > max_bytes {
        let message = format!("the body is larger than limits.max_body ({max_bytes} bytes)");
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Err(ApiError::new(status, ErrorCode::BodyTooLarge, message));
    }
    Ok(kept.freeze())
}

fn unreadable(error: hyper::Error) -> ApiError {
    let message = format!("the body cannot be read: {error}");
    ApiError::new(StatusCode::BAD_REQUEST, ErrorCode::BadRequest, message)
}

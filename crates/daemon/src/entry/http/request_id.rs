use hyper::{HeaderMap, header::HeaderName};

/// Header field that names a request; it comes back with the answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Longest request id that is taken from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// The caller's name for a request, or a new one.
pub fn request_id(headers: &HeaderMap) -> String {
    headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok())
        .filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES)
        .map_or_else(|| format!("{:016x}", rand::random::<u64>()), str::to_owned)
}

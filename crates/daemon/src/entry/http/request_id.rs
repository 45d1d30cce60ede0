use hyper::{HeaderMap, header::HeaderName};

/// Header with the request ID; the response repeats it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Maximum length of a request ID sent by a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Returns the caller's request ID, or a random one if it is missing, empty, too long or not
/// visible ASCII.
pub fn request_id(headers: &HeaderMap) -> String {
    headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok())
        .filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES)
        .map_or_else(|| format!("{:016x}", rand::random::<u64>()), str::to_owned)
}

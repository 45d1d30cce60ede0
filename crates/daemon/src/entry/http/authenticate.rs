use super::{ApiError, ErrorCode};
use cassiagw_core::settings::{Caller, Tree};
use hyper::{HeaderMap, StatusCode, header::AUTHORIZATION};

/// Returns the bearer token of the `Authorization` header; `None` if it is missing or has another
/// scheme.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Finds the caller of a request by its bearer token; `unix_now` is in seconds.
///
/// # Errors
/// The token is missing, unknown or expired.
pub fn authenticate(headers: &HeaderMap, tree: &Tree, unix_now: u64) -> Result<Caller, ApiError> {
    bearer_token(headers).and_then(|token| tree.authenticate(token, unix_now)).ok_or_else(|| {
        ApiError::new(
            StatusCode::UNAUTHORIZED,
            ErrorCode::Unauthorized,
            "a bearer token of a workspace is required; it is missing, unknown or expired",
        )
    })
}

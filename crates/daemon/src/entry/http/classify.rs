use super::{ApiError, ErrorCode};
use hyper::{Method, StatusCode, Uri};

/// Kind of a request, by its method and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// `POST /v1/completions`.
    Completion,
    /// Any method on `/v1/services/<service>/<path>`.
    Call {
        /// Name of the plain service; the settings list services among the models.
        service: String,
        /// Path and query to request from the service, starting with `/`.
        path: String,
    },
    /// Operator API: `/v1/history`, `/v1/status`, `/v1/settings` and the paths below the latter.
    Operators,
    /// Any method on `/healthz`, which succeeds as long as the daemon serves HTTP.
    Health,
    /// Any method on `/readyz`, which succeeds if the entry has current settings and is not
    /// draining.
    Ready,
}

/// Path prefix of calls to plain services.
const SERVICE_PATH_PREFIX: &str = "/v1/services/";

/// Determines the kind of a request.
///
/// # Errors
/// The path does not exist or does not support the method.
pub fn classify(method: &Method, uri: &Uri) -> Result<RequestKind, ApiError> {
    let path = uri.path();
    match path {
        "/v1/completions" if method == Method::POST => Ok(RequestKind::Completion),
        "/v1/completions" => Err(ApiError::new(
            StatusCode::METHOD_NOT_ALLOWED,
            ErrorCode::MethodNotAllowed,
            "use POST for /v1/completions",
        )),
        "/healthz" => Ok(RequestKind::Health),
        "/readyz" => Ok(RequestKind::Ready),
        "/v1/history" | "/v1/status" | "/v1/settings" => Ok(RequestKind::Operators),
        _ if path.starts_with("/v1/settings/") => Ok(RequestKind::Operators),
        _ => service_call(uri).ok_or_else(|| {
            ApiError::new(
                StatusCode::NOT_FOUND,
                ErrorCode::NotFound,
                "no such path; see /v1/completions and /v1/services/<service>/<path>",
            )
        }),
    }
}

fn service_call(uri: &Uri) -> Option<RequestKind> {
    let rest = uri.path().strip_prefix(SERVICE_PATH_PREFIX)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return None;
    }
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Some(RequestKind::Call { service: service.to_owned(), path: format!("/{path}{query}") })
}

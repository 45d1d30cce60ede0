use super::{
    OperatorsContext,
    answer::{Answer, ErrorResponse},
    read,
    request::{authenticate, query_number, read_body},
    write,
};
use hyper::{Method, Request, StatusCode, body::Body};
use std::error::Error;

/// Handles `/v1/settings*`, `/v1/history` and `/v1/status`.
pub async fn route<B>(cx: &OperatorsContext, req: Request<B>) -> Answer
where
    B: Body,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    try_route(cx, req).await.unwrap_or_else(ErrorResponse::into_answer)
}

async fn try_route<B>(cx: &OperatorsContext, req: Request<B>) -> Result<Answer, ErrorResponse>
where
    B: Body,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let by = authenticate(cx, req.headers())?;
    let (parts, body) = req.into_parts();
    let query = parts.uri.query();
    let base = || query_number(query, "base");
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/v1/status") => read::status(cx, &by),
        (&Method::GET, "/v1/history") => read::history(cx, &by, query).await,
        (&Method::POST, "/v1/settings") => write::put_many(cx, by, &read_body(body).await?).await,
        (method, path) => match (method, settings_path(path)) {
            (&Method::GET, Some(path)) => read::settings(cx, &by, path),
            (&Method::PUT, Some(path)) => {
                write::put(cx, by, path, base()?, &read_body(body).await?).await
            }
            (&Method::DELETE, Some(path)) => write::delete(cx, by, path, base()?).await,
            _ => Err(unknown_path(path)),
        },
    }
}

/// Extracts the path of a setting or subtree, without percent-decoding.
fn settings_path(path: &str) -> Option<&str> {
    match path.strip_prefix("/v1/settings")? {
        "" => Some(""),
        rest => rest.strip_prefix('/'),
    }
}

fn unknown_path(path: &str) -> ErrorResponse {
    let message = format!("{path}: no such path or method");
    ErrorResponse::new(StatusCode::NOT_FOUND, "unknown_path", message)
}

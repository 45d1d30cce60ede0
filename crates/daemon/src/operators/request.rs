use super::{OperatorsContext, answer::ErrorResponse};
use bytes::Bytes;
use cassiagw_core::settings::{MAX_EDIT_BYTES, Principal};
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, StatusCode, body::Body, header::AUTHORIZATION};
use serde::de::DeserializeOwned;
use std::{error::Error, time::Duration};
use tokio::time::timeout;

/// Time allowed for a client to send a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request body, in bytes: an edit and the JSON around it.
const MAX_BODY_BYTES: usize = MAX_EDIT_BYTES + 64 * 1024;

/// Authenticates a request by its bearer token.
pub fn authenticate(
    cx: &OperatorsContext,
    headers: &HeaderMap,
) -> Result<Principal, ErrorResponse> {
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    token
        .and_then(|token| Principal::from_token(token, &cx.token_hashes, &cx.control.view().tree))
        .ok_or_else(|| {
            let message = "a bearer token of an operator or a team is required";
            ErrorResponse::new(StatusCode::UNAUTHORIZED, "unauthorized", message)
        })
}

/// Reads the complete request body, within the size limit and the timeout.
pub async fn read_body<B>(body: B) -> Result<Bytes, ErrorResponse>
where
    B: Body,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let read = Limited::new(body, MAX_BODY_BYTES).collect();
    match timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let message = format!("request body exceeds the limit of {MAX_BODY_BYTES} bytes");
            Err(ErrorResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message))
        }
        Ok(Err(error)) => Err(ErrorResponse::bad_request("body_cut", error)),
        Err(_) => {
            let message =
                format!("request body was not complete within {} s", BODY_TIMEOUT.as_secs());
            Err(ErrorResponse::new(StatusCode::REQUEST_TIMEOUT, "body_timeout", message))
        }
    }
}

/// Parses a JSON request body.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ErrorResponse> {
    serde_json::from_slice(body).map_err(|error| ErrorResponse::bad_request("bad_json", error))
}

/// Parses a query parameter as an integer; `None` if it is missing.
pub fn query_number(query: Option<&str>, name: &str) -> Result<Option<u64>, ErrorResponse> {
    let text = query.unwrap_or_default().split('&').find_map(|field| {
        let (found, text) = field.split_once('=')?;
        (found == name).then_some(text)
    });
    text.map(|text| {
        let message = || format!("{name}={text}: expected an integer");
        text.parse().map_err(|_| ErrorResponse::bad_request("bad_query", message()))
    })
    .transpose()
}

use crate::CliError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// Timeout of a whole exchange. It is long because an entry may spend several seconds finding out
/// whether an append to the store succeeded.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP request with an optional bearer token and JSON body.
pub struct Call<'a> {
    pub method: Method,
    pub path: &'a str,
    pub token: Option<&'a str>,
    pub body: Option<&'a Value>,
}

/// Fetches a JSON document without authentication.
///
/// # Errors
/// As for [`send`].
pub async fn get_json(address: SocketAddr, path: &str) -> Result<Value, CliError> {
    send(address, &Call { method: Method::GET, path, token: None, body: None }).await
}

/// Sends a command without authentication or body, and returns the JSON response.
///
/// # Errors
/// As for [`send`].
pub async fn post_json(address: SocketAddr, path: &str) -> Result<Value, CliError> {
    send(address, &Call { method: Method::POST, path, token: None, body: None }).await
}

/// Sends a request and parses the JSON response.
///
/// # Errors
/// [`CliError::Unreachable`] guarantees that nothing was sent; [`CliError::Unknown`] means that the
/// request may have been processed. An error response gives [`CliError::Refused`], a path that
/// cannot be part of a URL [`CliError::Usage`].
pub async fn send(address: SocketAddr, call: &Call<'_>) -> Result<Value, CliError> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    let client = Client::builder(TokioExecutor::new()).build::<_, Full<Bytes>>(connector);
    let unknown = |error: &dyn std::fmt::Display| CliError::Unknown(format!("{address}: {error}"));
    let exchange = async {
        let response = client.request(build_request(address, call)?).await.map_err(|error| {
            match error.is_connect() {
                true => CliError::Unreachable(format!("{address}: {error}")),
                false => unknown(&error),
            }
        })?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|error| unknown(&error))?;
        parse_response(status.as_u16(), &body.to_bytes())
    };
    match timeout(RESPONSE_TIMEOUT, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => Err(unknown(&format!("no response within {} s", RESPONSE_TIMEOUT.as_secs()))),
    }
}

fn build_request(address: SocketAddr, call: &Call<'_>) -> Result<Request<Full<Bytes>>, CliError> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", call.path))
        .header(CONTENT_TYPE, "application/json");
    if let Some(token) = call.token {
        builder = builder.header(AUTHORIZATION, format!("Bearer {token}"));
    }
    let body = call.body.map(Value::to_string).unwrap_or_default();
    builder.body(Full::from(body)).map_err(|error| CliError::Usage(error.to_string()))
}

fn parse_response(status: u16, body: &[u8]) -> Result<Value, CliError> {
    let document = serde_json::from_slice::<Value>(body);
    if (200..300).contains(&status) {
        return document.map_err(|error| CliError::Unknown(format!("invalid response: {error}")));
    }
    let document = document.unwrap_or_default();
    let error_field = |field: &str| document["error"][field].as_str().map(str::to_owned);
    let code = error_field("code").unwrap_or_else(|| status.to_string());
    let message =
        error_field("message").unwrap_or_else(|| String::from_utf8_lossy(body).into_owned());
    Err(CliError::Refused { status, code, message })
}

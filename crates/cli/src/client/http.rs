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

/// Time-out of a whole exchange. It is long because an entry may spend several seconds finding out
/// whether an append to the store succeeded.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// HTTP request with an optional bearer token and JSON body.
pub struct Call<'a> {
    pub method: Method,
    pub path: &'a str,
    pub token: Option<&'a str>,
    pub document: Option<&'a Value>,
}

/// Fetches a JSON document without authentication.
///
/// # Errors
/// As for [`send`].
pub async fn get_json(address: SocketAddr, path: &str) -> Result<Value, CliError> {
    send(address, &Call { method: Method::GET, path, token: None, document: None }).await
}

/// Sends a request and parses the JSON response.
///
/// # Errors
/// [`CliError::Unreachable`] guarantees that nothing was sent; [`CliError::Unknown`] means that the
/// request may have been processed. An error response gives [`CliError::Refused`].
pub async fn send(address: SocketAddr, call: &Call<'_>) -> Result<Value, CliError> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_LIMIT));
    let client = Client::builder(TokioExecutor::new()).build::<_, Full<Bytes>>(connector);
    let unknown = |error: &dyn std::fmt::Display| CliError::Unknown(format!("{address}: {error}"));
    let exchange = async {
        let answer = client.request(request(address, call)?).await.map_err(|error| match error
            .is_connect()
        {
            true => CliError::Unreachable(format!("{address}: {error}")),
            false => unknown(&error),
        })?;
        let status = answer.status();
        let body = answer.into_body().collect().await.map_err(|error| unknown(&error))?;
        read_answer(status.as_u16(), &body.to_bytes())
    };
    match timeout(ANSWER_LIMIT, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => Err(unknown(&format!("no answer within {} s", ANSWER_LIMIT.as_secs()))),
    }
}

fn request(address: SocketAddr, call: &Call<'_>) -> Result<Request<Full<Bytes>>, CliError> {
    let mut req = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", call.path))
        .header(CONTENT_TYPE, "application/json");
    if let Some(token) = call.token {
        req = req.header(AUTHORIZATION, format!("Bearer {token}"));
    }
    let body = call.document.map(Value::to_string).unwrap_or_default();
    req.body(Full::from(body)).map_err(|error| CliError::Usage(error.to_string()))
}

fn read_answer(status: u16, body: &[u8]) -> Result<Value, CliError> {
    let document = serde_json::from_slice::<Value>(body);
    if (200..300).contains(&status) {
        return document.map_err(|error| CliError::Unknown(format!("bad answer: {error}")));
    }
    let document = document.unwrap_or_default();
    let text = |field: &str| document["error"][field].as_str().map(str::to_owned);
    let code = text("code").unwrap_or_else(|| status.to_string());
    let message = text("message").unwrap_or_else(|| String::from_utf8_lossy(body).into_owned());
    Err(CliError::Refused { status, code, message })
}

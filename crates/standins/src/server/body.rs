use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode, Uri,
    body::{Frame, Incoming},
    header::CONTENT_TYPE,
};
use serde::Serialize;
use serde_json::json;
use thiserror::Error;
use tokio::sync::mpsc;

/// Response body of a stand-in.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// Error that makes the server close the connection without sending the rest of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("connection cut")]
pub struct Cut;

/// Response with a body of raw bytes.
pub fn bytes_response(status: StatusCode, content_type: &str, body: Bytes) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(full(body))
        .expect("content types of stand-ins are valid header values")
}

/// Response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Response with a JSON document.
pub fn json(status: StatusCode, document: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(document).expect("documents of stand-ins have a JSON form");
    bytes_response(status, "application/json", body.into())
}

/// Error response of the form `{"error":{"code":..,"message":..}}`.
pub fn error_json(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    json(status, &json!({"error": {"code": code, "message": message}}))
}

/// Chunked response whose body is received from a channel; an `Err` closes the connection.
pub fn stream(content_type: &str, rx: mpsc::Receiver<Result<Bytes, Cut>>) -> Response<Body> {
    let frames = stream::unfold(rx, |mut rx| async move {
        rx.recv().await.map(|chunk| (chunk.map(Frame::data), rx))
    });
    Response::builder()
        .header(CONTENT_TYPE, content_type)
        .body(StreamBody::new(frames).boxed_unsync())
        .expect("content types of stand-ins are valid header values")
}

/// Collects the whole request body.
///
/// # Errors
/// The client closed the connection before the end of the body.
pub async fn read_body(body: Incoming) -> Result<Bytes, Cut> {
    body.collect().await.map(|collected| collected.to_bytes()).map_err(|_| Cut)
}

/// First value of a query parameter, without percent-decoding.
pub fn query_param<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let mut pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find_map(|(key, value)| (key == name).then_some(value))
}

fn full(body: Bytes) -> Body {
    Full::new(body).map_err(|never| match never {}).boxed_unsync()
}

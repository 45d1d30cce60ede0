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

/// Body of a stand-in's answer.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// Closes the connection without the rest of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("connection cut")]
pub struct Cut;

/// Answer with bytes.
pub fn bytes_response(status: StatusCode, content_type: &str, body: Bytes) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(full(body))
        .expect("content types of stand-ins are valid header values")
}

/// Answer without body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Answer with a JSON document.
pub fn json(status: StatusCode, document: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(document).expect("documents of stand-ins have a JSON form");
    bytes_response(status, "application/json", body.into())
}

/// Answer with an error in the form `{"error":{"code":..,"message":..}}`.
pub fn error_json(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    json(status, &json!({"error": {"code": code, "message": message}}))
}

/// Answer whose body follows piece by piece; an `Err` cuts the connection.
pub fn stream(content_type: &str, rx: mpsc::Receiver<Result<Bytes, Cut>>) -> Response<Body> {
    let frames = stream::unfold(rx, |mut rx| async move {
        rx.recv().await.map(|piece| (piece.map(Frame::data), rx))
    });
    Response::builder()
        .header(CONTENT_TYPE, content_type)
        .body(StreamBody::new(frames).boxed_unsync())
        .expect("content types of stand-ins are valid header values")
}

/// Reads a request's body whole.
///
/// # Errors
/// The client stopped sending.
pub async fn read_body(body: Incoming) -> Result<Bytes, Cut> {
    body.collect().await.map(|whole| whole.to_bytes()).map_err(|_| Cut)
}

/// Value of a name in a query string, as it was sent.
pub fn query<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let mut pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find_map(|(key, value)| (key == name).then_some(value))
}

fn full(body: Bytes) -> Body {
    Full::new(body).map_err(|never| match never {}).boxed_unsync()
}

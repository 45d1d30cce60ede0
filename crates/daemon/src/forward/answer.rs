use crate::entry::http::StreamCut;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;
use std::time::Duration;

/// Body of a response; an error cuts the connection, so that a part cannot look whole.
pub type Body = UnsyncBoxBody<Bytes, StreamCut>;

/// A body that is known in full.
pub fn full_body(content: impl Into<Bytes>) -> Body {
    Full::new(content.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Error that this daemon answers with, in place of an endpoint's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnError {
    /// Status.
    pub status: StatusCode,
    /// Code for programs.
    pub code: &'static str,
    /// Text for people; it names the field where the request is at fault.
    pub message: String,
    /// When the caller may come back, for a request that did not run.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    code: &'a str,
    message: &'a str,
}

impl OwnError {
    /// Makes an error.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), retry_after: None }
    }

    /// Sets when the caller may come back.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Makes the response.
    pub fn response(&self) -> Response<Body> {
        let body = ErrorBody { code: self.code, message: &self.message };
        let text = serde_json::to_vec(&body).expect("two strings have a JSON form");
        let mut response = Response::new(full_body(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let seconds = self.retry_after.map(|wait| format!("{:.2}", wait.as_secs_f64()));
        if let Some(Ok(value)) = seconds.map(HeaderValue::try_from) {
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}

use crate::http::{HttpAnswer, HttpClient, HttpError, HttpRequest};
use hyper::{
    Method,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use std::{net::SocketAddr, time::Duration};

/// Names the caller's key to the service.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Names the attempt to the service, for its records.
const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");

/// Call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// `Content-Type`, if any.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// The caller's key, if any.
    pub idempotency_key: Option<String>,
    /// Name of the attempt, in hex.
    pub attempt: String,
}

/// Client of one plain service; it never repeats a call.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: HttpClient,
    address: SocketAddr,
}

impl ServiceClient {
    /// Makes a client of the service at an address.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Makes one call and waits for its whole answer up to `limit`.
    ///
    /// # Errors
    /// [`HttpError::NotSent`] proves that the call did not run; otherwise it is unknown.
    pub async fn call(&self, call: ServiceCall, limit: Duration) -> Result<HttpAnswer, HttpError> {
        let not_sent = |cause: String| HttpError::NotSent { address: self.address, cause };
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|error| not_sent(error.to_string()))?;
        let mut req = HttpRequest::new(method, call.path).with_body(call.body);
        let fields = [
            (CONTENT_TYPE, call.content_type),
            (IDEMPOTENCY_KEY, call.idempotency_key),
            (ATTEMPT_ID, Some(call.attempt)),
        ];
        for (name, value) in fields {
            let Some(value) = value else { continue };
            let value =
                HeaderValue::from_str(&value).map_err(|error| not_sent(error.to_string()))?;
            req = req.with_header(name, value);
        }
        self.http.call_within(self.address, req, limit).await
    }
}

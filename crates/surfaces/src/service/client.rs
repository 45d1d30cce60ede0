use crate::http::{HttpClient, HttpError, HttpRequest, HttpResponse};
use hyper::{
    Method,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use std::{net::SocketAddr, time::Duration};

/// Header that passes the caller's idempotency key to the service.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header that passes the attempt's identifier to the service, for its records.
const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");

/// Call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method, such as `POST`.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Value of the `Content-Type` header, if the request has one.
    pub content_type: Option<String>,
    /// Request body.
    pub body: Vec<u8>,
    /// The caller's idempotency key, if the request has one.
    pub idempotency_key: Option<String>,
    /// Identifier of the attempt in hex.
    pub attempt: String,
}

/// Client of one plain service; it never retries a call.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: HttpClient,
    address: SocketAddr,
}

impl ServiceClient {
    /// Creates a client of the service at `address`.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Makes one call and waits up to `limit` for the complete response.
    ///
    /// # Errors
    /// [`HttpError::NotSent`] proves that the call did not run; after [`HttpError::Unknown`] it may
    /// have run.
    pub async fn call(
        &self,
        call: ServiceCall,
        limit: Duration,
    ) -> Result<HttpResponse, HttpError> {
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

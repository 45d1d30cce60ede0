use super::{HttpError, Progress, limited_connector::LimitedConnector};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{error::Error as _, fmt::Display, net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// Time after which an idle pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeouts and size limits of an HTTP client.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Connect timeout.
    pub connect_timeout: Duration,
    /// Default timeout from the call until the response head, or until the end of a response that
    /// is read completely.
    pub response_timeout: Duration,
    /// Maximum body size of a response that is read completely, in bytes.
    pub max_response_bytes: usize,
    /// Maximum size of a response head, in bytes; it also bounds the read buffer of a connection.
    pub max_head_bytes: usize,
    /// Maximum number of bytes read on a connection without a response head or any part of a body
    /// coming of them. Only for clients whose responses are all read completely.
    pub max_bytes_without_progress: usize,
    /// Maximum number of idle connections kept per address.
    pub max_idle_connections: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            response_timeout: Duration::from_secs(10),
            max_response_bytes: 64 * 1024 * 1024,
            max_head_bytes: 64 * 1024,
            max_bytes_without_progress: usize::MAX,
            max_idle_connections: 16,
        }
    }
}

/// HTTP request whose body is held in memory.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body; empty if there is none.
    pub body: Bytes,
}

impl HttpRequest {
    /// Creates a request without body or headers.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// Creates a POST request with a JSON body.
    pub fn new_json(path: impl Into<String>, document: &impl Serialize) -> Self {
        let body = serde_json::to_vec(document).expect("plain data serializes to JSON");
        Self::new(Method::POST, path)
            .with_body(body)
            .with_header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
    }

    /// Replaces the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a header and replaces any previous value.
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }
}

/// HTTP response with its complete body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Deserializes the body from JSON.
    ///
    /// # Errors
    /// The body is not JSON or does not match `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// HTTP client with a connection pool; clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<LimitedConnector, Full<Bytes>>,
    limits: HttpLimits,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(HttpLimits::default())
    }
}

impl HttpClient {
    /// Creates a client with an empty connection pool.
    pub fn new(limits: HttpLimits) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limits.connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(limits.max_idle_connections)
            .http1_max_buf_size(limits.max_head_bytes)
            .build(LimitedConnector::new(connector, limits.max_bytes_without_progress));
        Self { client, limits }
    }

    /// Sends a request and waits for the response head; the body is streamed.
    ///
    /// # Errors
    /// [`HttpError::NotSent`] if the request is invalid or the connection failed;
    /// [`HttpError::Unknown`] otherwise, also on a timeout.
    pub async fn open(
        &self,
        address: SocketAddr,
        req: HttpRequest,
    ) -> Result<Response<Incoming>, HttpError> {
        self.open_within(address, req, self.limits.response_timeout).await
    }

    /// Like [`Self::open`], with `limit` as the timeout for the response head.
    ///
    /// # Errors
    /// [`HttpError::NotSent`] if the request is invalid or the connection failed;
    /// [`HttpError::Unknown`] otherwise, also on a timeout.
    pub async fn open_within(
        &self,
        address: SocketAddr,
        req: HttpRequest,
        limit: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let req = build_request(address, req)?;
        match timeout(limit, self.client.request(req)).await {
            Ok(Ok(response)) if is_final_status(response.status()) => Ok(response),
            Ok(Ok(response)) => {
                let status = response.status().as_u16();
                Err(unknown_outcome(address, format_args!("the response has status {status}")))
            }
            Ok(Err(error)) if error.is_connect() => {
                Err(HttpError::NotSent { address, cause: describe_error(&error) })
            }
            Ok(Err(error)) => Err(HttpError::Unknown { address, cause: describe_error(&error) }),
            Err(_) => Err(timed_out(address, limit)),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// [`HttpError::NotSent`] if the request is invalid or the connection failed;
    /// [`HttpError::Unknown`] otherwise, also on a timeout and on a truncated or oversized
    /// response.
    pub async fn call(
        &self,
        address: SocketAddr,
        req: HttpRequest,
    ) -> Result<HttpResponse, HttpError> {
        self.call_within(address, req, self.limits.response_timeout).await
    }

    /// Like [`Self::call`], with `limit` as the timeout for the complete exchange.
    ///
    /// # Errors
    /// [`HttpError::NotSent`] if the request is invalid or the connection failed;
    /// [`HttpError::Unknown`] otherwise, also on a timeout and on a truncated or oversized
    /// response.
    pub async fn call_within(
        &self,
        address: SocketAddr,
        req: HttpRequest,
        limit: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let exchange = async {
            let (parts, body) = self.open_within(address, req, limit).await?.into_parts();
            let progress = parts.extensions.get::<Progress>().cloned().unwrap_or_default();
            progress.record();
            let body = Limited::new(body, self.limits.max_response_bytes)
                .map_frame(|frame| {
                    progress.record();
                    frame
                })
                .collect()
                .await
                .map_err(|error| unknown_outcome(address, error))?
                .to_bytes();
            Ok(HttpResponse { status: parts.status, headers: parts.headers, body })
        };
        timeout(limit, exchange).await.unwrap_or_else(|_| Err(timed_out(address, limit)))
    }
}

/// Whether a status is one that HTTP defines for the end of a request. Others parse, but whoever sends
/// them is in trouble, or means another request.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

fn build_request(address: SocketAddr, req: HttpRequest) -> Result<Request<Full<Bytes>>, HttpError> {
    if !req.path.starts_with('/') {
        let cause = format!("invalid request path {:?}: it must start with a slash", req.path);
        return Err(HttpError::NotSent { address, cause });
    }
    let mut request = Request::builder()
        .method(req.method)
        .uri(format!("http://{address}{}", req.path))
        .body(Full::new(req.body))
        .map_err(|error| HttpError::NotSent { address, cause: error.to_string() })?;
    *request.headers_mut() = req.headers;
    Ok(request)
}

fn unknown_outcome(address: SocketAddr, cause: impl Display) -> HttpError {
    HttpError::Unknown { address, cause: cause.to_string() }
}

fn timed_out(address: SocketAddr, limit: Duration) -> HttpError {
    unknown_outcome(address, format_args!("timed out after {} ms", limit.as_millis()))
}

fn describe_error(error: &hyper_util::client::legacy::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

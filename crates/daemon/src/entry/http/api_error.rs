use super::{Body, full_body};
use cassiagw_rpc::RunStatus;
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;

/// Error code of the public API; the codes are stable, so callers may branch on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request could not be read.
    BadRequest,
    /// The body is not valid JSON or does not match the schema.
    BadJson,
    /// A field or header has an invalid value.
    InvalidField,
    /// The bearer token is missing, unknown or expired.
    Unauthorized,
    /// The team has no access to the model or service.
    Forbidden,
    /// The path does not exist.
    NotFound,
    /// The model or plain service does not exist.
    UnknownModel,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The body exceeds `limits.max_body`.
    BodyTooLarge,
    /// The body did not arrive within `limits.body_timeout`.
    BodyTimeout,
    /// The idempotency key was already used with a different request.
    KeyConflict,
    /// The idempotency key is older than the retention time of outcomes.
    KeyExpired,
    /// No endpoint has capacity for the request now.
    Overloaded,
    /// Something that the request depends on, such as current settings, is not available now.
    Unavailable,
    /// The response did not complete within its time limit.
    Timeout,
    /// It is unknown whether the request ran.
    OutcomeUnknown,
    /// The request ran, but its answer was too large to store for a repeated request.
    AnswerNotKept,
    /// An endpoint failed or its response was incomplete.
    EndpointFailed,
    /// The daemon is shutting down and accepts no new requests.
    ShuttingDown,
}

/// Error response of the public API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Machine-readable error code.
    pub code: ErrorCode,
    /// Human-readable description.
    pub message: String,
    /// Whether the request ran; reported as `not_run`.
    pub ran: RunStatus,
    /// Whether the connection closes after the response, since a part of the request is not read.
    pub closes: bool,
    /// Value of `Retry-After` in seconds; `None` omits the field.
    pub retry_after_s: Option<u32>,
}

#[derive(Serialize)]
struct Document<'a> {
    error: Details<'a>,
}

#[derive(Serialize)]
struct Details<'a> {
    code: ErrorCode,
    message: &'a str,
    not_run: Option<bool>,
}

impl ApiError {
    /// Creates the error of a request that did not run; see [`Self::with_ran`] for others.
    pub fn new(status: StatusCode, code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: RunStatus::NotRun,
            retry_after_s: None,
            closes: false,
        }
    }

    /// Replaces the information whether the request ran.
    pub fn with_ran(mut self, ran: RunStatus) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the value of `Retry-After`, in seconds.
    pub fn with_retry_after_s(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Sets whether the connection closes after the response.
    pub fn with_close(mut self, closes: bool) -> Self {
        self.closes = closes;
        self
    }

    /// Serializes the error as JSON; `not_run` is null if it is unknown whether the request ran.
    pub fn document(&self) -> String {
        let not_run = match self.ran {
            RunStatus::NotRun => Some(true),
            RunStatus::Run => Some(false),
            RunStatus::Unknown => None,
        };
        let error = Details { code: self.code, message: &self.message, not_run };
        serde_json::to_string(&Document { error }).unwrap_or_default()
    }

    /// Name of the code in JSON, logs and metrics, in snake case.
    pub fn code_name(&self) -> String {
        let name = serde_json::to_value(self.code).ok();
        name.and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// Builds the HTTP response, with the JSON document as its body.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(full_body(self.document()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.extend(self.closes.then(|| (CONNECTION, HeaderValue::from_static("close"))));
        headers.extend(self.retry_after_s.map(|seconds| (RETRY_AFTER, seconds.into())));
        response
    }
}

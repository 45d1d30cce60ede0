use super::{Body, full_body};
use cassiagw_rpc::Ran;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;

/// Stable code of an error; callers may branch on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is not readable.
    BadRequest,
    /// The body is not the JSON that is expected.
    BadJson,
    /// A field has a value that is not allowed.
    InvalidField,
    /// No valid bearer token.
    Unauthorized,
    /// The team may not use what it names.
    Forbidden,
    /// No such path.
    NotFound,
    /// No such model or plain service.
    UnknownModel,
    /// Wrong method for the path.
    MethodNotAllowed,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The same idempotency key came with another request.
    KeyConflict,
    /// The idempotency key is older than the retention of outcomes.
    KeyExpired,
    /// No endpoint can take the request now.
    Overloaded,
    /// What the request needs cannot be reached now.
    Unavailable,
    /// The time for the answer is over.
    Timeout,
    /// Whether the request ran cannot be told.
    OutcomeUnknown,
    /// The request ran; its answer was too long to be kept for a repeat.
    AnswerNotKept,
    /// The endpoint failed.
    EndpointFailed,
    /// The daemon is shutting down.
    ShuttingDown,
}

/// Error as a caller gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable code.
    pub code: ErrorCode,
    /// What happened, for a person.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
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
    /// Makes an error of a request that did not run.
    pub fn new(status: StatusCode, code: ErrorCode, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), ran: Ran::NotRun }
    }

    /// Sets whether the request ran.
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// The error as a JSON document; `not_run` is null where neither can be proven.
    pub fn document(&self) -> String {
        let not_run = match self.ran {
            Ran::NotRun => Some(true),
            Ran::Run => Some(false),
            Ran::Unknown => None,
        };
        let error = Details { code: self.code, message: &self.message, not_run };
        serde_json::to_string(&Document { error }).unwrap_or_default()
    }

    /// The code as it appears in JSON, logs and metrics.
    pub fn code_name(&self) -> String {
        let name = serde_json::to_value(self.code).ok();
        name.and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// The error as an HTTP response.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(full_body(self.document()));
        *response.status_mut() = self.status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }
}

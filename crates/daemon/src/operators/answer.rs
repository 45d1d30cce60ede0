use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde_json::{Value, json};

/// HTTP response of the operators' interface.
pub type Answer = Response<Full<Bytes>>;

/// Makes a response with a JSON body.
pub fn json_response(status: StatusCode, document: &Value) -> Answer {
    let mut answer = Response::new(Full::from(document.to_string()));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// Error response of the operators' interface.
#[derive(Clone, Debug, PartialEq)]
pub struct ErrorResponse {
    status: StatusCode,
    code: &'static str,
    message: String,
    not_run: Option<bool>,
    fields: Value,
}

impl ErrorResponse {
    /// Makes an error that states that the request had no effect.
    pub fn new(status: StatusCode, code: &'static str, message: impl ToString) -> Self {
        let message = message.to_string();
        Self { status, code, message, not_run: Some(true), fields: json!({}) }
    }

    /// Makes an error for a malformed request.
    pub fn bad_request(code: &'static str, message: impl ToString) -> Self {
        Self::new(StatusCode::BAD_REQUEST, code, message)
    }

    /// Makes an error for a request that the token does not permit.
    pub fn forbidden(message: impl ToString) -> Self {
        Self::new(StatusCode::FORBIDDEN, "forbidden", message)
    }

    /// States that the request may have had an effect.
    pub fn with_unknown_outcome(mut self) -> Self {
        self.not_run = None;
        self
    }

    /// Adds further fields to the error object.
    pub fn with_fields(mut self, fields: Value) -> Self {
        self.fields = fields;
        self
    }

    /// Converts the error to its JSON response.
    pub fn into_answer(self) -> Answer {
        let mut error = self.fields;
        error["code"] = self.code.into();
        error["message"] = self.message.into();
        error["not_run"] = self.not_run.into();
        json_response(self.status, &json!({ "error": error }))
    }
}

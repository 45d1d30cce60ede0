use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde_json::{Value, json};

/// Answer of the operators' interface.
pub type Answer = Response<Full<Bytes>>;

/// Answers with a JSON document.
pub fn document(status: StatusCode, document: &Value) -> Answer {
    let mut answer = Response::new(Full::from(document.to_string()));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// Why a request is not answered as it wants.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: String,
    not_run: Option<bool>,
    fields: Value,
}

impl Refusal {
    /// Makes a refusal that proves that the request had no effect.
    pub fn new(status: StatusCode, code: &'static str, message: impl ToString) -> Self {
        let message = message.to_string();
        Self { status, code, message, not_run: Some(true), fields: json!({}) }
    }

    /// Makes a refusal of a request that is wrong in itself.
    pub fn bad_request(code: &'static str, message: impl ToString) -> Self {
        Self::new(StatusCode::BAD_REQUEST, code, message)
    }

    /// Makes a refusal of a request that the token does not allow.
    pub fn forbidden(message: impl ToString) -> Self {
        Self::new(StatusCode::FORBIDDEN, "forbidden", message)
    }

    /// Says that the request may have had an effect.
    pub fn with_open_outcome(mut self) -> Self {
        self.not_run = None;
        self
    }

    /// Adds fields to the error.
    pub fn with_fields(mut self, fields: Value) -> Self {
        self.fields = fields;
        self
    }

    /// Gives the answer in the interface's form.
    pub fn answer(self) -> Answer {
        let mut error = self.fields;
        error["code"] = self.code.into();
        error["message"] = self.message.into();
        error["not_run"] = self.not_run.into();
        document(self.status, &json!({ "error": error }))
    }
}

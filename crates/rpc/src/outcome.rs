use serde::{Deserialize, Serialize};

/// Whether a request ran on its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// It is proven that the endpoint did not receive the request and never will.
    NotRun,
    /// The request ran, completely or in part.
    Run,
    /// It cannot be determined whether the request ran.
    Unknown,
}

/// Explicit end of a stream. A stream that stops without one was interrupted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamEnd {
    /// A completion finished.
    Finished {
        /// Finish reason reported by the engine: `stop` or `length`.
        reason: String,
        /// Prompt tokens that were computed instead of reused from cache.
        computed_tokens: u32,
        /// Total tokens of the prompt.
        prompt_tokens: u32,
    },
    /// A plain service returned a complete response.
    Answer(ServiceResponse),
    /// No complete response was received.
    Failed {
        /// Whether the request ran.
        ran: RunStatus,
        /// Error message for the caller.
        message: String,
    },
}

/// HTTP response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, if the response has one.
    pub content_type: Option<String>,
    /// Complete response body.
    pub body: Vec<u8>,
}

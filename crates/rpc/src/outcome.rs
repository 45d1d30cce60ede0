use serde::{Deserialize, Serialize};

/// Whether a request ran on its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Proven: the endpoint never received it and never will.
    NotRun,
    /// It ran, wholly or in part.
    Run,
    /// Neither can be proven.
    Unknown,
}

/// Explicit end of a stream; a stream without one was cut.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// A completion is whole.
    Finished {
        /// `stop` or `length`, as the engine gave it.
        reason: String,
        /// Tokens of the prompt that were computed rather than reused.
        computed_tokens: u32,
        /// Tokens of the prompt.
        prompt_tokens: u32,
    },
    /// The answer of a plain service.
    Answer(HttpAnswer),
    /// No whole answer came.
    Failed {
        /// Whether the request ran.
        ran: Ran,
        /// What failed, for the caller.
        message: String,
    },
}

/// Answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpAnswer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`, if any.
    pub content_type: Option<String>,
    /// Body, whole.
    pub body: Vec<u8>,
}

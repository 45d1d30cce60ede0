use std::time::Duration;

/// What a caller saw of one completion.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompletionResult {
    /// HTTP status; none if no answer came.
    pub status: Option<u16>,
    /// Code of the error, if there was one.
    pub error: Option<String>,
    /// Whether the answer said that the request did not run.
    pub not_run: Option<bool>,
    /// Text of the answer.
    pub text: String,
    /// Whether the explicit end of the answer came.
    pub is_whole: bool,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Time from sending to the end.
    pub total: Duration,
    /// Tokens of the prompt, as the answer counts them.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were reused.
    pub cached_tokens: u64,
}

use std::time::Duration;

/// Result of one completion request as observed by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompletionResult {
    /// HTTP status; `None` if no response was received.
    pub status: Option<u16>,
    /// Error code from the response or transport error text; `None` if there was no error.
    pub error: Option<String>,
    /// `not_run` flag of the error response: whether the request is known not to have run.
    /// `None` if the response did not have the flag.
    pub not_run: Option<bool>,
    /// Generated text received so far.
    pub text: String,
    /// Whether the stream ended with the `[DONE]` event and reported no error.
    pub is_whole: bool,
    /// Time from sending the request to the first token; `None` if no token was received.
    pub first_token: Option<Duration>,
    /// Time from sending the request to the end of the response.
    pub total: Duration,
    /// Number of prompt tokens reported in the usage of the response.
    pub prompt_tokens: u64,
    /// Number of prompt tokens served from the prefix cache.
    pub cached_tokens: u64,
}

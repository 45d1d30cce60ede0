use std::time::Duration;

/// Result of one plain service call as observed by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderResult {
    /// HTTP status; `None` if no response was received.
    pub status: Option<u16>,
    /// `not_run` flag of the error response: whether the request is known not to have run.
    /// `None` if the response did not have the flag.
    pub not_run: Option<bool>,
    /// Response body; invalid UTF-8 is replaced.
    pub body: String,
    /// Time from sending the request to the end of the response.
    pub total: Duration,
}

impl OrderResult {
    /// Whether the response of the service itself was received (status 200).
    pub fn is_answered(&self) -> bool {
        self.status == Some(200)
    }
}

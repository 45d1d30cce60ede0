use std::time::Duration;

/// What a caller saw of one call of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderResult {
    /// HTTP status; none if no answer came.
    pub status: Option<u16>,
    /// Whether the answer said that the request did not run; none if it did not say.
    pub not_run: Option<bool>,
    /// Body of the answer.
    pub body: String,
    /// Time from sending to the end.
    pub total: Duration,
}

impl OrderResult {
    /// Whether the service's own answer came back.
    pub fn is_answered(&self) -> bool {
        self.status == Some(200)
    }
}

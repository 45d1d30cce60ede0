use std::time::Duration;

/// What an endpoint says in an answer of the requests that it wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// It is about to leave.
    pub is_leaving: bool,
    /// It wants no requests of this daemon for this time from now.
    pub pause: Option<Duration>,
}

impl EndpointNotice {
    /// Whether the endpoint says nothing of it.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

use super::{EndpointEntry, EndpointNotice, EventBoundary, Framing};

/// Whether an answer that has ended is whole, as far as its bytes tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// The answer is whole.
    Whole,
    /// The answer broke off.
    Cut,
    /// The connection ended where the answer may end: it is whole unless the endpoint's process
    /// ended.
    WholeIfAlive,
}

/// Follows the body of an answer to tell at its end whether it is whole.
///
/// Load: endpoints that crash or break off in the middle of answers, in every framing.
#[derive(Clone, Debug)]
pub struct AnswerEnd {
    framing: Framing,
    is_event_stream: bool,
    boundary: EventBoundary,
}

impl AnswerEnd {
    /// Creates the state after an answer's head.
    pub fn new(framing: Framing, is_event_stream: bool) -> Self {
        Self { framing, is_event_stream, boundary: EventBoundary::default() }
    }

    /// How the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Appends data of the body.
    pub fn push(&mut self, data: &[u8]) {
        self.boundary.push(data);
    }

    /// Verdict on a body that ends here without an error.
    ///
    /// An event stream ends between two events; one that ends with its connection has at least one,
    /// since nothing but the events tells it from a lost connection.
    pub fn verdict(&self) -> EndVerdict {
        let boundary = &self.boundary;
        match self.framing {
            _ if self.is_event_stream && !boundary.is_between_events() => EndVerdict::Cut,
            Framing::Length | Framing::Chunked => EndVerdict::Whole,
            Framing::Close if self.is_event_stream && boundary.is_empty() => EndVerdict::Cut,
            Framing::Close => EndVerdict::WholeIfAlive,
        }
    }
}

/// What an endpoint says of itself when it is asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointIdentity {
    /// Its name.
    pub id: Option<String>,
    /// Start of its process in Unix milliseconds.
    pub started_unix_ms: Option<u64>,
    /// What it says of the requests that it wants.
    pub notice: EndpointNotice,
}

impl EndpointIdentity {
    /// Whether an endpoint that says this of itself may be the boot of an entry. An endpoint that
    /// names neither itself nor its start is not.
    pub fn is_boot_of(&self, entry: &EndpointEntry) -> bool {
        let is_other_name = self.id.as_ref().is_some_and(|id| **id != *entry.id);
        let starts = self.started_unix_ms.zip(entry.started_unix_ms);
        let is_other_boot = starts.is_some_and(|(said, listed)| said != listed);
        let is_known = self.id.is_some() || starts.is_some();
        is_known && !is_other_name && !is_other_boot
    }
}

use crate::ids::{HostId, ZoneId};
use std::time::Duration;

/// How an endpoint answered a request, as far as it tells something of its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// A correct and complete answer. Its slowness is judged by comparison with the old versions.
    Good {
        /// Time from sending the request to the first byte of the answer.
        first_byte: Duration,
    },
    /// A 5xx, or a broken, garbled or wrong answer.
    Bad {
        /// Time to the first byte, if there was one.
        first_byte: Option<Duration>,
    },
    /// Tells nothing of the version: rejected as full, 421, cut by the caller, not sent at all, or
    /// a good answer to a request that was sent to a cold endpoint.
    Ignored,
    /// The endpoint was lost before the answer was complete: it crashed, or can't be reached any
    /// more. Counts as bad unless other endpoints in the zone were cut at the same moment, and only
    /// a few times for each host and moment. An answer that breaks off at an endpoint that goes on
    /// answering is `Bad`.
    Cut,
}

/// Where an answer came from.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerOrigin<'a> {
    /// Availability zone of the endpoint, if known.
    pub zone: Option<&'a ZoneId>,
    /// Host of the endpoint, or the endpoint's name where no host is known.
    pub host: Option<&'a HostId>,
}

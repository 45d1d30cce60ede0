use crate::{
    ids::{AttemptId, WorkspaceId},
    settings::Priority,
};
use std::time::{Duration, Instant};
use thiserror::Error;

/// A request that asks to run.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Attempt to run.
    pub id: AttemptId,
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// Share of the workspace relative to others; 0 counts as 1.
    pub weight: u32,
    /// Who waits.
    pub priority: Priority,
    /// Estimated work in tokens, charged to the workspace.
    pub cost_tokens: u64,
    /// Prompt tokens that the endpoint has to compute; 0 for a plain service.
    pub prefill_tokens: u32,
    /// Time from which on the answer is of no use.
    pub deadline: Instant,
}

/// Why a request was not admitted. It has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdmissionRefusal {
    /// The daemon is draining.
    #[error("the endpoint is leaving")]
    Leaving,
    /// No room in the queue for this workspace.
    #[error("the endpoint's queue is full")]
    Full,
    /// The answer would come after the time left.
    #[error("the answer is expected in {expected:?}, later than the time left")]
    TooLate {
        /// Expected time to the whole answer.
        expected: Duration,
    },
}

/// What to do with a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Hand it to the endpoint.
    Start(AttemptId),
    /// Drop it: its deadline passed while it waited, and it did not run.
    Expire(AttemptId),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finished {
    /// A whole answer.
    Served {
        /// Prompt tokens that were computed; 0 for a plain service.
        computed_tokens: u32,
    },
    /// Given up by the caller.
    Cancelled,
    /// The endpoint refused it as overloaded, or failed.
    Failed,
}

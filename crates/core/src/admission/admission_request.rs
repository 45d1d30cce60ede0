use crate::{
    ids::{AttemptId, WorkspaceId},
    settings::Priority,
};
use std::time::{Duration, Instant};
use thiserror::Error;

/// A request for admission to an endpoint.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// ID of the request in its [`Decision`]s; must be unique among queued and running requests.
    pub id: AttemptId,
    /// Workspace that is charged for the request.
    pub workspace: WorkspaceId,
    /// Scheduling weight of the workspace relative to others; 0 counts as 1.
    pub weight: u32,
    /// Priority class: interactive requests generally start before batch requests.
    pub priority: Priority,
    /// Estimated cost in tokens, charged to the workspace at the start.
    pub cost_tokens: u64,
    /// Prompt tokens that the endpoint has to prefill; 0 for a service that is not a model.
    pub prefill_tokens: u32,
    /// Time by which the response must be complete; a request queued until then expires.
    pub deadline: Instant,
}

/// Why a request was not admitted. It has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdmissionRefusal {
    /// The endpoint's daemon is draining and accepts no new requests.
    #[error("the endpoint is draining")]
    Leaving,
    /// The queue, or this workspace's part of it, is full.
    #[error("the endpoint's queue is full")]
    Full,
    /// The response is expected after the deadline.
    #[error("response expected in {expected:?}, after the request's deadline")]
    TooLate {
        /// Expected time until the response is complete.
        expected: Duration,
    },
}

/// What to do with a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the endpoint.
    Start(AttemptId),
    /// Drop it: its deadline passed in the queue, and it has not run.
    Expire(AttemptId),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response is complete.
    Served {
        /// Prompt tokens that the endpoint prefilled; 0 for a service that is not a model.
        computed_tokens: u32,
    },
    /// Canceled by the caller.
    Cancelled,
    /// The endpoint failed or rejected the request as overloaded; its limit returns to cold.
    Failed,
}

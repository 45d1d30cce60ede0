use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use std::time::Duration;

/// What an endpoint daemon says of its own endpoint; it rides on every reply.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Boot of the endpoint daemon.
    pub boot: u64,
    /// Boot of the endpoint itself; after a new one its cache is empty. 0 until it is known.
    pub endpoint_boot: u64,
    /// Requests running on the endpoint.
    pub running: u32,
    /// Requests waiting in the daemon.
    pub waiting: u32,
    /// Prompt tokens waiting to be computed.
    pub waiting_tokens: u64,
    /// Requests that the endpoint may take now beyond those running; 0 while a cold ramp is full.
    pub credits: u32,
    /// Measured time to compute one prompt token.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub prefill_per_token: Duration,
    /// Time that a new request would wait for its start.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub expected_wait: Duration,
    /// Warmth from 0 (just started) to 1000 (full load allowed).
    pub warmth_permille: u16,
    /// Whether the daemon refuses new work for good: draining or taken out.
    pub leaving: bool,
}

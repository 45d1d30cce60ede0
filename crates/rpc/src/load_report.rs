use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use std::time::Duration;

/// Load of an endpoint as measured by its daemon; included in replies to [`EndpointRpc`] calls.
///
/// [`EndpointRpc`]: crate::EndpointRpc
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Boot of the endpoint daemon.
    pub boot: u64,
    /// Boot of the endpoint itself; 0 until it is known. The cache is empty after each boot.
    pub endpoint_boot: u64,
    /// Requests running on the endpoint.
    pub running: u32,
    /// Requests queued in the daemon.
    pub waiting: u32,
    /// Prompt tokens queued for prefill.
    pub waiting_tokens: u64,
    /// Requests that the endpoint can accept now in addition to those running; 0 while the
    /// concurrency limit after a cold start is reached or `leaving` is set.
    pub credits: u32,
    /// Measured prefill time per prompt token.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub prefill_per_token: Duration,
    /// Time that a new request is expected to be queued before it starts.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub expected_wait: Duration,
    /// Warm-up progress from 0 (just started) to 1000 (full load allowed).
    pub warmth_permille: u16,
    /// Whether the daemon refuses all new work: it is draining, its host is leaving, its zone is
    /// out of service, or its settings lack the endpoint or may be outdated.
    pub leaving: bool,
}

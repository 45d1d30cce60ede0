use crate::ids::BootId;
use std::time::Duration;

/// Load of one endpoint, as reported by its daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Boot number of the endpoint; a changed number means an empty cache.
    pub boot: BootId,
    /// Requests running on the endpoint.
    pub running: u32,
    /// Requests queued in the daemon.
    pub waiting: u32,
    /// Estimated cost of the queued requests, in tokens.
    pub waiting_tokens: u64,
    /// Concurrency limit less the running and queued requests; 0 while the daemon is draining.
    pub credits: u32,
    /// Measured prefill time per prompt token.
    pub prefill_per_token: Duration,
    /// Expected time until a new request's own prefill could begin.
    pub expected_wait: Duration,
    /// Warm-up progress from 0 (cold limit) to 1000 (warm limit).
    pub warmth_permille: u16,
    /// Whether the daemon is draining and refuses new requests.
    pub leaving: bool,
}

/// Warmth of an endpoint at its warm concurrency limit.
pub(super) const FULL_WARMTH_PERMILLE: u16 = 1_000;

impl EndpointLoad {
    /// Whether the concurrency limit is still below the warm limit.
    pub fn is_cold(&self) -> bool {
        self.warmth_permille < FULL_WARMTH_PERMILLE
    }

    /// Share of the concurrency limit in use, in 1/1000; 1000 where no request can run.
    pub fn busy_permille(&self) -> u32 {
        let limit = u64::from(self.running) + u64::from(self.credits);
        (u64::from(self.running) * 1_000).checked_div(limit).unwrap_or(1_000) as u32
    }
}

use crate::ids::BootId;
use std::time::Duration;

/// Load of one endpoint as its daemon reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Boot of the endpoint; a new one starts with an empty cache.
    pub boot: BootId,
    /// Requests running on the endpoint.
    pub running: u32,
    /// Requests waiting in the daemon.
    pub waiting: u32,
    /// Prompt tokens waiting to be computed.
    pub waiting_tokens: u64,
    /// Requests that may start at once beyond those running.
    pub credits: u32,
    /// Measured time to compute one prompt token.
    pub prefill_per_token: Duration,
    /// Time that a new request waits for its start.
    pub expected_wait: Duration,
    /// Warmth from 0 (just started) to 1000 (full load allowed).
    pub warmth_permille: u16,
    /// Whether the daemon refuses new work for good.
    pub leaving: bool,
}

/// Warmth at which an endpoint takes its full load.
pub(super) const WARM_PERMILLE: u16 = 1_000;

impl EndpointLoad {
    /// Whether the cold ramp still limits the endpoint.
    pub fn is_cold(&self) -> bool {
        self.warmth_permille < WARM_PERMILLE
    }

    /// Share of the concurrent requests in use, from 0 to 1000.
    pub fn busy_permille(&self) -> u32 {
        let limit = u64::from(self.running) + u64::from(self.credits);
        (u64::from(self.running) * 1_000).checked_div(limit).unwrap_or(1_000) as u32
    }
}

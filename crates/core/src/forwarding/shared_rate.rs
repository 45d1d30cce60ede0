use super::token_bucket::BURST;
use std::time::Duration;

/// Percentage of an endpoint's rate that is used.
const USED_PERCENT: f64 = 80.0;
/// Percentage of the requests tolerated beyond that rate that may be spent on bursts. The rest
/// covers daemons whose lists of members differ for some seconds, for example after many restarts.
const BURST_PERCENT: f64 = 50.0;

/// Limit on the requests to one endpoint, over all daemons.
///
/// Each of a few daemons gets an equal share of the rate; each may send a burst of one request at
/// the same moment, so their number is limited however many daemons there are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRate {
    /// Rate that the endpoint sustains, in requests per second.
    pub per_s: f64,
    /// Span over which its requests are counted.
    pub window: Duration,
    /// Maximum number of requests in any such span.
    pub max_in_window: f64,
}

impl SharedRate {
    /// Rate at which the daemon with a rank may send, in requests per second; zero if it is not
    /// among the senders. Ranks order the daemons for each endpoint, from 0.
    pub fn share(&self, daemons: usize, rank: usize) -> f64 {
        let senders = self.senders(daemons);
        if rank < senders { self.used_per_s() / senders as f64 } else { 0.0 }
    }

    /// Number of daemons that send to the endpoint.
    fn senders(&self, daemons: usize) -> usize {
        let used = self.used_per_s() * self.window.as_secs_f64();
        let spare = (self.max_in_window - used).max(0.0);
        let most = (spare * BURST_PERCENT / 100.0 / BURST) as usize;
        daemons.min(most).max(1)
    }

    fn used_per_s(&self) -> f64 {
        self.per_s * USED_PERCENT / 100.0
    }
}

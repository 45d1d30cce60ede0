use std::time::{Duration, Instant};

/// Capacity of the token bucket, in requests.
const BURST: f64 = 1.0;
/// Lower bound on the rate used in estimates, in requests per second, so that every wait is finite.
const MIN_PER_S: f64 = 0.01;
/// Percentage of a cold endpoint's rate that is used.
const USED_PERCENT: f64 = 80.0;
/// Percentage of the requests tolerated beyond that rate that may be spent on bursts. The rest
/// covers daemons whose lists of members differ for some seconds, for example after many restarts.
const BURST_PERCENT: f64 = 50.0;

/// Limit on the requests to one cold endpoint, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Rate that the endpoint sustains, in requests per second.
    pub per_s: f64,
    /// Maximum number of requests in any one second.
    pub max_in_1s: f64,
}

impl ColdLimit {
    /// Rate at which the daemon with a rank may send, in requests per second; zero if it is not
    /// among the senders. Ranks order the daemons for each endpoint, from 0.
    pub fn share(&self, daemons: usize, rank: usize) -> f64 {
        let senders = self.senders(daemons);
        if rank < senders { self.used_per_s() / senders as f64 } else { 0.0 }
    }

    /// Number of daemons that send to the endpoint. Each may send a burst of one request at the
    /// same moment, so their number is limited however many daemons there are.
    fn senders(&self, daemons: usize) -> usize {
        let spare = (self.max_in_1s - self.used_per_s()).max(0.0);
        let most = (spare * BURST_PERCENT / 100.0 / BURST) as usize;
        daemons.min(most).max(1)
    }

    fn used_per_s(&self) -> f64 {
        self.per_s * USED_PERCENT / 100.0
    }
}

/// Token bucket that limits the rate at which one daemon sends requests to a cold endpoint.
///
/// The endpoint's limit applies to all daemons together; see [`ColdLimit::share`] for the part of
/// one daemon.
#[derive(Clone, Debug)]
pub struct ColdRateLimiter {
    until: Instant,
    tokens: f64,
    refilled_at: Instant,
}

impl ColdRateLimiter {
    /// Creates a full bucket for an endpoint that is cold until `until`.
    pub fn new(now: Instant, until: Instant) -> Self {
        Self { until, tokens: BURST, refilled_at: now }
    }

    /// Extends the cold period to `until`; an earlier time is ignored.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Whether the cold period has not ended yet.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Whether a request may be sent now at a limit of `per_s` requests per second, where zero
    /// means none; always true once the endpoint is warm.
    pub fn may_send(&self, now: Instant, per_s: f64) -> bool {
        !self.is_cold(now) || (per_s > 0.0 && self.available(now, per_s) >= 1.0)
    }

    /// Takes one token for a request sent now.
    pub fn on_sent(&mut self, now: Instant, per_s: f64) {
        self.tokens = self.available(now, per_s) - 1.0;
        self.refilled_at = now;
    }

    /// Time until a request may be sent, at most until the cold period ends.
    pub fn wait(&self, now: Instant, per_s: f64) -> Duration {
        let left = self.until.saturating_duration_since(now);
        if per_s <= 0.0 {
            return left;
        }
        let missing = (1.0 - self.available(now, per_s)).max(0.0);
        Duration::from_secs_f64(missing / per_s.max(MIN_PER_S)).min(left)
    }

    fn available(&self, now: Instant, per_s: f64) -> f64 {
        let passed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        (self.tokens + passed * per_s).min(BURST)
    }
}

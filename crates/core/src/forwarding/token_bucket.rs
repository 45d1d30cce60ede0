use std::time::{Duration, Instant};

/// Capacity of a token bucket, in requests.
pub const BURST: f64 = 1.0;
/// Lower bound on the rate used in estimates, in requests per second, so that every wait is finite.
const MIN_PER_S: f64 = 0.01;

/// Token bucket that limits the rate at which one daemon sends requests to an endpoint. The rate may
/// change from call to call, as the daemon's share does.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> Self {
        Self { tokens: BURST, refilled_at: now }
    }

    /// Whether a request may be sent now at `per_s` requests per second, where zero means none.
    pub fn may_send(&self, now: Instant, per_s: f64) -> bool {
        per_s > 0.0 && self.available(now, per_s) >= 1.0
    }

    /// Takes one token for a request sent now.
    pub fn on_sent(&mut self, now: Instant, per_s: f64) {
        self.tokens = self.available(now, per_s) - 1.0;
        self.refilled_at = now;
    }

    /// Time until a request may be sent; `None` at a rate of zero.
    pub fn wait(&self, now: Instant, per_s: f64) -> Option<Duration> {
        let missing = (1.0 - self.available(now, per_s)).max(0.0);
        (per_s > 0.0).then(|| Duration::from_secs_f64(missing / per_s.max(MIN_PER_S)))
    }

    fn available(&self, now: Instant, per_s: f64) -> f64 {
        let passed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        (self.tokens + passed * per_s).min(BURST)
    }
}

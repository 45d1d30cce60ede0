use std::time::{Duration, Instant};

/// Capacity of the token bucket, in requests.
const BURST: f64 = 1.0;
/// Lower bound on the rate used in estimates, in requests per second, so that every wait is finite.
const MIN_PER_S: f64 = 0.01;

/// Token bucket that limits the rate at which one daemon sends requests to a cold endpoint.
///
/// The endpoint's limit applies to all daemons together, so each daemon uses an equal share.
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

    /// Whether a request may be sent now at a limit of `per_s` requests per second; always true
    /// once the endpoint is warm.
    pub fn may_send(&self, now: Instant, per_s: f64) -> bool {
        !self.is_cold(now) || self.available(now, per_s) >= 1.0
    }

    /// Takes one token for a request sent now.
    pub fn on_sent(&mut self, now: Instant, per_s: f64) {
        self.tokens = self.available(now, per_s) - 1.0;
        self.refilled_at = now;
    }

    /// Time until a request may be sent, at most until the cold period ends.
    pub fn wait(&self, now: Instant, per_s: f64) -> Duration {
        let missing = (1.0 - self.available(now, per_s)).max(0.0);
        Duration::from_secs_f64(missing / per_s.max(MIN_PER_S))
            .min(self.until.saturating_duration_since(now))
    }

    fn available(&self, now: Instant, per_s: f64) -> f64 {
        let passed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        (self.tokens + passed * per_s).min(BURST)
    }
}

use std::time::{Duration, Instant};

/// Requests that may follow each other at once on a cold endpoint.
const BURST: f64 = 1.0;
/// Requests a second that are reckoned with at least, so that every wait is finite.
const MIN_PER_S: f64 = 0.01;

/// Bounds the rate at which one daemon sends requests to a cold endpoint.
///
/// The endpoint's bound holds for all daemons together, so each takes an equal part of it.
#[derive(Clone, Debug)]
pub struct ColdRate {
    until: Instant,
    saved: f64,
    refilled: Instant,
}

impl ColdRate {
    /// Starts a cold time that ends at `until`.
    pub fn new(now: Instant, until: Instant) -> Self {
        Self { until, saved: BURST, refilled: now }
    }

    /// Ends the cold time at `until` where that is later than known.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Whether the endpoint is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Whether a request may be sent now at `per_s` requests a second.
    pub fn may_send(&self, now: Instant, per_s: f64) -> bool {
        !self.is_cold(now) || self.available(now, per_s) >= 1.0
    }

    /// Counts a request that is sent now.
    pub fn on_sent(&mut self, now: Instant, per_s: f64) {
        self.saved = self.available(now, per_s) - 1.0;
        self.refilled = now;
    }

    /// Time until a request may be sent.
    pub fn wait(&self, now: Instant, per_s: f64) -> Duration {
        let missing = (1.0 - self.available(now, per_s)).max(0.0);
        Duration::from_secs_f64(missing / per_s.max(MIN_PER_S))
            .min(self.until.saturating_duration_since(now))
    }

    fn available(&self, now: Instant, per_s: f64) -> f64 {
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        (self.saved + passed * per_s).min(BURST)
    }
}

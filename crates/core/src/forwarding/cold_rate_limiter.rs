use super::TokenBucket;
use std::time::{Duration, Instant};

/// Limits the rate at which one daemon sends requests to a cold endpoint.
///
/// The endpoint's limit applies to all daemons together; see [`super::SharedRate::share`] for the
/// part of one daemon.
#[derive(Clone, Debug)]
pub struct ColdRateLimiter {
    until: Instant,
    bucket: TokenBucket,
}

impl ColdRateLimiter {
    /// Creates a full bucket for an endpoint that is cold until `until`.
    pub fn new(now: Instant, until: Instant) -> Self {
        Self { until, bucket: TokenBucket::new(now) }
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
        !self.is_cold(now) || self.bucket.may_send(now, per_s)
    }

    /// Takes one token for a request sent now.
    pub fn on_sent(&mut self, now: Instant, per_s: f64) {
        self.bucket.on_sent(now, per_s);
    }

    /// Time until a request may be sent, at most until the cold period ends.
    pub fn wait(&self, now: Instant, per_s: f64) -> Duration {
        let left = self.until.saturating_duration_since(now);
        self.bucket.wait(now, per_s).map_or(left, |wait| wait.min(left))
    }
}

use std::time::Duration;
use tokio::time::Instant;

/// Decision of a rate limit on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call may proceed after this wait, which may be zero.
    After(Duration),
    /// The call is refused: the wait would exceed the bound.
    Refused,
}

/// Token bucket whose queue is bounded by a maximum wait.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Tokens left, infinite until the first `take` caps it; negative while calls wait.
    available: f64,
    refilled: Instant,
}

impl RateLimit {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> Self {
        Self { available: f64::INFINITY, refilled: now }
    }

    /// Takes a token from a bucket that refills at `rate` tokens per second and holds a tenth of a
    /// second's refill, but at least 1 token; a call that would wait longer than `max_wait` takes
    /// none.
    pub fn take(&mut self, now: Instant, rate: f64, max_wait: Duration) -> Admission {
        let burst = (rate / 10.0).max(1.0);
        let refill = rate * now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.available = (self.available + refill).min(burst) - 1.0;
        let wait = (-self.available).max(0.0) / rate;
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        if wait > max_wait {
            self.available += 1.0;
            return Admission::Refused;
        }
        Admission::After(wait)
    }
}

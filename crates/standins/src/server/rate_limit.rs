use std::time::Duration;
use tokio::time::Instant;

/// Whether a call may go on under a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// After this wait, which may be zero.
    After(Duration),
    /// Not at all: the wait would be longer than the bound.
    Refused,
}

/// Token bucket of calls with a bounded queue.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    available: f64,
    refilled: Instant,
}

impl RateLimit {
    /// Starts full.
    pub fn new(now: Instant) -> Self {
        Self { available: f64::INFINITY, refilled: now }
    }

    /// Takes one call at `rate` calls a second with bursts of up to a tenth of a second's calls.
    pub fn take(&mut self, now: Instant, rate: f64, longest_wait: Duration) -> Turn {
        let burst = (rate / 10.0).max(1.0);
        let refill = rate * now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.available = (self.available + refill).min(burst) - 1.0;
        let wait = (-self.available).max(0.0) / rate;
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        if wait > longest_wait {
            self.available += 1.0;
            return Turn::Refused;
        }
        Turn::After(wait)
    }
}

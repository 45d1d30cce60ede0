//! Requests that this daemon has lately sent to an endpoint.

use std::time::{Duration, Instant};

/// Time constant of the exponential decay.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Number of requests lately sent, each weighted down with its age.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentSends {
    last: Option<(Instant, f64)>,
}

impl RecentSends {
    /// Counts a request that is sent now.
    pub fn add(&mut self, now: Instant) {
        self.last = Some((now, self.count(now) + 1.0));
    }

    /// Weighted number of requests.
    pub fn count(&self, now: Instant) -> f64 {
        let Some((at, count)) = self.last else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        count * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}

//! When to ask an endpoint whether it has become cold.

use std::time::{Duration, Instant};

/// Minimum interval between two checks of an endpoint.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Decides when this daemon asks an endpoint by its health check whether it is cold.
///
/// Needed when an endpoint becomes cold while the platform's store is away, which
/// otherwise tells it. Checks follow the requests that are sent, so an endpoint that gets few of them
/// is seldom asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdCheck {
    asked_at: Option<Instant>,
}

impl ColdCheck {
    /// Whether the endpoint is to be asked with a request that is sent now; if so, records that it is.
    pub fn take(&mut self, now: Instant) -> bool {
        if self.asked_at.is_some_and(|at| now < at + MIN_INTERVAL) {
            return false;
        }
        self.asked_at = Some(now);
        true
    }
}

use std::time::{Duration, Instant};

/// Time in which a large body must make progress.
const WINDOW: Duration = Duration::from_secs(3);
/// Bytes that must arrive in that time; one byte now and then does not keep memory reserved.
const MIN_BYTES: usize = 4 * 1024;

/// Checks that a body which occupies memory keeps arriving.
#[derive(Clone, Copy, Debug)]
pub struct BodyProgress {
    until: Instant,
    arrived: usize,
}

impl BodyProgress {
    /// Starts the first window.
    pub fn new(now: Instant) -> Self {
        Self { until: now + WINDOW, arrived: 0 }
    }

    /// Records bytes of the body.
    pub fn on_data(&mut self, now: Instant, bytes: usize) {
        self.arrived += bytes;
        if self.arrived >= MIN_BYTES {
            *self = Self::new(now);
        }
    }

    /// Starts over after a time in which the daemon did not read.
    pub fn restart(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    /// When the body counts as stalled unless enough of it arrives.
    pub fn stalls_at(&self) -> Instant {
        self.until
    }
}

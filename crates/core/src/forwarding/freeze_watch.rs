use super::BootTime;
use std::time::{Duration, Instant};

/// Drift between the clocks that tells of a freeze; they differ by less otherwise.
const MIN_FREEZE: Duration = Duration::from_millis(200);

/// Notices that the host stood still, by a clock that counts that time and one that does not.
#[derive(Clone, Copy, Debug)]
pub struct FreezeWatch {
    at: Instant,
    boot: BootTime,
}

impl FreezeWatch {
    /// Starts with the present times of both clocks.
    pub fn new(at: Instant, boot: BootTime) -> Self {
        Self { at, boot }
    }

    /// Whether the host stood still since the last look.
    pub fn was_frozen(&mut self, at: Instant, boot: BootTime) -> bool {
        let by_steady = at.saturating_duration_since(self.at);
        let by_boot = boot.saturating_sub(self.boot);
        *self = Self { at, boot };
        by_boot > by_steady + MIN_FREEZE
    }
}

use crate::forwarding::BootTime;
use std::time::{Duration, Instant};

/// Minimum difference between the clocks that counts as a freeze; it is smaller in normal
/// operation.
const MIN_FREEZE: Duration = Duration::from_millis(200);

/// Detects that the host was suspended, by comparing a clock that runs during suspension with one
/// that does not.
#[derive(Clone, Copy, Debug)]
pub struct FreezeDetector {
    at: Instant,
    boot: BootTime,
}

impl FreezeDetector {
    /// Starts from the current readings of both clocks.
    pub fn new(at: Instant, boot: BootTime) -> Self {
        Self { at, boot }
    }

    /// Whether the host was suspended since the previous call.
    pub fn was_frozen(&mut self, at: Instant, boot: BootTime) -> bool {
        let monotonic_elapsed = at.saturating_duration_since(self.at);
        let boot_elapsed = boot.saturating_sub(self.boot);
        *self = Self { at, boot };
        boot_elapsed > monotonic_elapsed + MIN_FREEZE
    }
}

use std::time::Duration;

/// Time that a transfer would take over a link now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferEstimate {
    /// Time until the first byte, behind what is queued and in flight.
    pub setup: Duration,
    /// Bytes a second at the link's current share.
    pub bytes_per_s: f64,
}

impl TransferEstimate {
    /// Time to move `bytes`.
    pub fn time(&self, bytes: u64) -> Duration {
        let seconds = bytes as f64 / self.bytes_per_s.max(1.0);
        Duration::try_from_secs_f64(seconds).map_or(Duration::MAX, |time| self.setup + time)
    }
}

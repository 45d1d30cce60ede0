use std::time::Duration;

/// Estimated duration of a transfer that is submitted to a link now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferEstimate {
    /// Delay until the first byte, caused by queued and in-flight transfers.
    pub queueing_delay: Duration,
    /// Expected throughput in bytes per second.
    pub bytes_per_s: f64,
}

impl TransferEstimate {
    /// Total time to transfer `bytes`, queueing included.
    pub fn time(&self, bytes: u64) -> Duration {
        let seconds = bytes as f64 / self.bytes_per_s.max(1.0);
        Duration::try_from_secs_f64(seconds)
            .map_or(Duration::MAX, |time| self.queueing_delay + time)
    }
}

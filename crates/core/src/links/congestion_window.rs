use super::TransferEstimate;
use std::time::{Duration, Instant};

/// The window grows while a transfer takes less than this multiple of the unloaded time, which is
/// the time that it would take alone on the link.
const GROW_BELOW_RATIO: f64 = 2.0;
/// The window shrinks when a transfer takes more than this multiple of the unloaded time.
const SHRINK_ABOVE_RATIO: f64 = 3.0;
/// Factor applied to the window after a slow transfer.
const SLOW_FACTOR: f64 = 0.7;
/// Factor applied to the window after a failed transfer.
const FAILED_FACTOR: f64 = 0.5;
/// Maximum factor by which a slower transfer raises the unloaded time. Only transfers that ran
/// alone raise it, so that a lasting loss of link speed is learned, but queueing delay caused by
/// this window is not.
const MAX_UNLOADED_RISE: f64 = 1.25;
/// Weight of the newest sample in the exponentially weighted moving average of the throughput.
const EWMA_WEIGHT: f64 = 0.2;

/// Limits and initial values of a link's congestion window.
#[derive(Clone, Copy, Debug)]
pub struct WindowConfig {
    /// Minimum and initial size of the window in bytes.
    pub min_bytes: u64,
    /// Maximum size of the window in bytes.
    pub max_bytes: u64,
    /// Throughput assumed before the first transfer has completed, in bytes per second.
    pub initial_bytes_per_s: f64,
}

impl Default for WindowConfig {
    fn default() -> Self {
        Self {
            min_bytes: 64 * 1024,
            max_bytes: 64 * 1024 * 1024,
            initial_bytes_per_s: 100.0 * 1024.0 * 1024.0,
        }
    }
}

/// Delay-based congestion window of one link.
///
/// Additive increase while transfers take little longer than on an unloaded link, multiplicative
/// decrease when they slow down or fail.
#[derive(Clone, Debug)]
pub struct CongestionWindow {
    cfg: WindowConfig,
    window: f64,
    unloaded_s_per_byte: Option<f64>,
    bytes_per_s: Option<f64>,
    last_decrease: Option<Instant>,
}

impl CongestionWindow {
    /// Creates a window of the minimum size.
    pub fn new(cfg: WindowConfig) -> Self {
        Self {
            cfg,
            window: cfg.min_bytes as f64,
            unloaded_s_per_byte: None,
            bytes_per_s: None,
            last_decrease: None,
        }
    }

    /// Size of the window: the number of bytes that may be in flight.
    pub fn bytes(&self) -> u64 {
        self.window as u64
    }

    /// Records a completed transfer of `bytes` that took `elapsed`.
    ///
    /// `shared_bytes` is the number of bytes in flight at its start or its end, whichever is
    /// greater, its own included.
    pub fn on_completed(&mut self, now: Instant, bytes: u64, elapsed: Duration, shared_bytes: u64) {
        let seconds = elapsed.as_secs_f64().max(1e-6);
        let rate = shared_bytes.max(bytes) as f64 / seconds;
        let mean = self.bytes_per_s.map_or(rate, |mean| mean + EWMA_WEIGHT * (rate - mean));
        self.bytes_per_s = Some(mean);
        let s_per_byte = seconds / bytes.max(1) as f64;
        let is_alone = shared_bytes <= bytes;
        let unloaded = match self.unloaded_s_per_byte {
            Some(known) if s_per_byte > known && is_alone => {
                (known * MAX_UNLOADED_RISE).min(s_per_byte)
            }
            Some(known) if s_per_byte > known => known,
            _ => s_per_byte,
        };
        self.unloaded_s_per_byte = Some(unloaded);
        let ratio = s_per_byte / unloaded;
        if ratio < GROW_BELOW_RATIO {
            self.set_window(self.window + bytes as f64 * (bytes as f64 / self.window).min(1.0));
        } else if ratio > SHRINK_ABOVE_RATIO {
            self.shrink(now, elapsed, SLOW_FACTOR);
        }
    }

    /// Records a transfer that failed after `elapsed`.
    pub fn on_failed(&mut self, now: Instant, elapsed: Duration) {
        self.shrink(now, elapsed, FAILED_FACTOR);
    }

    /// Estimates a transfer that starts after `ahead_bytes` have been transferred.
    pub fn estimate(&self, ahead_bytes: u64) -> TransferEstimate {
        let bytes_per_s = self.bytes_per_s.unwrap_or(self.cfg.initial_bytes_per_s).max(1.0);
        let queueing_delay = Duration::try_from_secs_f64(ahead_bytes as f64 / bytes_per_s);
        TransferEstimate { queueing_delay: queueing_delay.unwrap_or(Duration::MAX), bytes_per_s }
    }

    /// Shrinks the window, at most once for all transfers that were in flight at the same time.
    fn shrink(&mut self, now: Instant, elapsed: Duration, factor: f64) {
        if self.last_decrease.is_some_and(|last| last + elapsed > now) {
            return;
        }
        self.last_decrease = Some(now);
        self.set_window(self.window * factor);
    }

    fn set_window(&mut self, bytes: f64) {
        self.window = bytes.clamp(self.cfg.min_bytes as f64, self.cfg.max_bytes as f64);
    }
}

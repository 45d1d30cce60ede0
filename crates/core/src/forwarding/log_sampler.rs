use std::time::{Duration, Instant};

/// Length of the window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits on log lines about requests, in lines per second.
#[derive(Clone, Copy, Debug)]
pub struct LogSamplerLimits {
    /// Rate above which the lines of successful requests are sampled.
    pub sample_above: u32,
    /// Maximum rate; above it the lines of failed requests are dropped too.
    pub max: u32,
    /// While sampling, one in this many successful requests is logged. It is selected by hash, so
    /// that all daemons log the same requests.
    pub sample_one_in: u64,
}

/// Rate limiter for request log lines, which samples successful requests before it drops failed
/// ones.
#[derive(Debug)]
pub struct LogSampler {
    limits: LogSamplerLimits,
    start: Instant,
    lines: u32,
    dropped: u64,
    /// Lines dropped in past windows and not reported yet.
    unreported: u64,
}

impl LogSampler {
    /// Starts the first window at `now`.
    pub fn new(now: Instant, limits: LogSamplerLimits) -> Self {
        Self { limits, start: now, lines: 0, dropped: 0, unreported: 0 }
    }

    /// Whether the `lines` lines of a request are written; all of them or none.
    pub fn admit(&mut self, now: Instant, hash: u64, is_success: bool, lines: u32) -> bool {
        if now >= self.start + WINDOW {
            self.start = now;
            self.lines = 0;
            self.unreported += std::mem::take(&mut self.dropped);
        }
        let is_sampled = hash.is_multiple_of(self.limits.sample_one_in);
        let limit = match is_success && !is_sampled {
            true => self.limits.sample_above,
            false => self.limits.max,
        };
        let is_admitted = self.lines + lines <= limit;
        match is_admitted {
            true => self.lines += lines,
            false => self.dropped += u64::from(lines),
        }
        is_admitted
    }

    /// Number of lines dropped in the windows that are over, since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.unreported)
    }
}

use std::time::{Duration, Instant};

/// Span for which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits on log lines about requests, in lines a second.
#[derive(Clone, Copy, Debug)]
pub struct LineLimits {
    /// Lines above which those of requests that went well are thinned.
    pub thin_above: u32,
    /// Lines at most; those of failed requests are dropped above it too.
    pub most: u32,
    /// Requests that went well of which one is kept while they are thinned, chosen by its hash,
    /// so that all daemons keep the same ones.
    pub kept_of: u64,
}

/// Decides which requests' lines are written: those of requests that went well are thinned first.
#[derive(Debug)]
pub struct LineBudget {
    limits: LineLimits,
    start: Instant,
    lines: u32,
    dropped: u64,
    /// Lines dropped in windows that are over, not told yet.
    untold: u64,
}

impl LineBudget {
    /// Starts counting.
    pub fn new(now: Instant, limits: LineLimits) -> Self {
        Self { limits, start: now, lines: 0, dropped: 0, untold: 0 }
    }

    /// Whether all `lines` of a request are written, or none of them.
    pub fn admit(&mut self, now: Instant, hash: u64, is_good: bool, lines: u32) -> bool {
        if now >= self.start + WINDOW {
            self.start = now;
            self.lines = 0;
            self.untold += std::mem::take(&mut self.dropped);
        }
        let is_sampled = hash.is_multiple_of(self.limits.kept_of);
        let limit = match is_good && !is_sampled {
            true => self.limits.thin_above,
            false => self.limits.most,
        };
        let is_admitted = self.lines + lines <= limit;
        match is_admitted {
            true => self.lines += lines,
            false => self.dropped += u64::from(lines),
        }
        is_admitted
    }

    /// Lines dropped up to the present window, told once.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.untold)
    }
}

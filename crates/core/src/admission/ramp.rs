use std::time::{Duration, Instant};

/// How the concurrency limit of an endpoint grows after a start.
#[derive(Clone, Debug)]
pub struct RampConfig {
    /// Concurrency limit of a cold endpoint.
    pub cold_limit: u32,
    /// Concurrency limit of a warm endpoint.
    pub warm_limit: u32,
    /// Growth of the limit per completed request, in 1/1000 of a concurrent request.
    pub growth_permille: u32,
    /// Shortest time in which the limit grows from cold to warm.
    pub min_warm_up: Duration,
}

impl Default for RampConfig {
    fn default() -> Self {
        Self {
            cold_limit: 1,
            warm_limit: 16,
            growth_permille: 500,
            min_warm_up: Duration::from_secs(2),
        }
    }
}

const PERMILLE: u64 = 1_000;

/// Concurrency limit with slow start.
///
/// It starts at the cold limit and grows with each completed request, no faster than linearly over
/// [`RampConfig::min_warm_up`].
#[derive(Clone, Debug)]
pub struct Ramp {
    cfg: RampConfig,
    cold_since: Instant,
    completed: u64,
}

impl Ramp {
    /// Creates a ramp at the cold limit.
    pub fn new(cfg: RampConfig, now: Instant) -> Self {
        Self { cfg, cold_since: now, completed: 0 }
    }

    /// Returns to the cold limit and restarts the warm-up time.
    pub fn reset(&mut self, now: Instant) {
        self.cold_since = now;
        self.completed = 0;
    }

    /// Counts a completed request.
    pub fn on_served(&mut self) {
        self.completed += 1;
    }

    /// Concurrent requests allowed at `now`.
    pub fn limit(&self, now: Instant) -> u32 {
        let by_completions =
            self.completed.saturating_mul(u64::from(self.cfg.growth_permille)) / PERMILLE;
        let growth =
            by_completions.min(self.growth_by_time(now)).min(u64::from(self.growth_range()));
        self.cfg.cold_limit + growth as u32
    }

    /// Progress from the cold limit (0) to the warm limit (1000).
    pub fn warmth_permille(&self, now: Instant) -> u16 {
        let growth = u64::from(self.limit(now) - self.cfg.cold_limit);
        let growth_range = u64::from(self.growth_range());
        (growth * PERMILLE).checked_div(growth_range).unwrap_or(PERMILLE) as u16
    }

    fn growth_range(&self) -> u32 {
        self.cfg.warm_limit.saturating_sub(self.cfg.cold_limit)
    }

    fn growth_by_time(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.cold_since).as_micros() as u64;
        let warm_up = self.cfg.min_warm_up.as_micros() as u64;
        elapsed
            .saturating_mul(u64::from(self.growth_range()))
            .checked_div(warm_up)
            .unwrap_or(u64::MAX)
    }
}

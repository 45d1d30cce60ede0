use std::time::{Duration, Instant};

/// Rates and limits of a [`RetryBudget`].
#[derive(Clone, Debug)]
pub struct RetryBudgetConfig {
    /// Retries earned by each first attempt, in thousandths.
    pub share_permille: u32,
    /// Retries earned per second, independent of the number of first attempts.
    pub floor_per_s: u32,
    /// Maximum number of retries that can accumulate.
    pub max_saved: u32,
    /// Retries available at the start.
    pub initial: u32,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self { share_permille: 100, floor_per_s: 2, max_saved: 100, initial: 20 }
    }
}

const PERMILLE: u64 = 1_000;

/// Token bucket that limits the retries and hedges of one entry daemon to a share of its first
/// attempts.
///
/// Without a limit, failures under overload cause retries and thereby more load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    saved_permille: u64,
    refilled: Instant,
}

impl RetryBudget {
    /// Creates a budget with `cfg.initial` retries.
    pub fn new(cfg: RetryBudgetConfig, now: Instant) -> Self {
        let saved_permille = u64::from(cfg.initial) * PERMILLE;
        Self { cfg, saved_permille, refilled: now }
    }

    /// Credits the share earned by a first attempt.
    pub fn on_first_try(&mut self) {
        self.save(u64::from(self.cfg.share_permille));
    }

    /// Takes one retry or hedge from the budget; returns false if it is exhausted.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let Some(left) = self.saved_permille.checked_sub(PERMILLE) else { return false };
        self.saved_permille = left;
        true
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled);
        let earned = passed.as_millis() as u64 * u64::from(self.cfg.floor_per_s);
        if earned > 0 {
            self.refilled += Duration::from_millis(passed.as_millis() as u64);
            self.save(earned);
        }
    }

    fn save(&mut self, permille: u64) {
        let max = u64::from(self.cfg.max_saved) * PERMILLE;
        self.saved_permille = (self.saved_permille + permille).min(max);
    }
}

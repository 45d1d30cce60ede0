use std::time::{Duration, Instant};

/// Rates and limits of a [`RetryBudget`].
#[derive(Clone, Debug)]
pub struct RetryBudgetConfig {
    /// Retries earned by each first attempt, in thousandths.
    pub share_permille: u32,
    /// Retries earned per second, independent of the number of first attempts.
    pub min_per_s: u32,
    /// Maximum number of retries that can accumulate.
    pub max_balance: u32,
    /// Retries available at the start.
    pub initial: u32,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self { share_permille: 100, min_per_s: 2, max_balance: 100, initial: 20 }
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
    balance_permille: u64,
    last_refill: Instant,
}

impl RetryBudget {
    /// Creates a budget with `cfg.initial` retries.
    pub fn new(cfg: RetryBudgetConfig, now: Instant) -> Self {
        let balance_permille = u64::from(cfg.initial) * PERMILLE;
        Self { cfg, balance_permille, last_refill: now }
    }

    /// Credits the share earned by a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.credit(u64::from(self.cfg.share_permille));
    }

    /// Takes one retry or hedge from the budget; returns false if it is exhausted.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let Some(left) = self.balance_permille.checked_sub(PERMILLE) else { return false };
        self.balance_permille = left;
        true
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last_refill);
        // A rate of one retry per second earns one thousandth of a retry per millisecond.
        let earned = passed.as_millis() as u64 * u64::from(self.cfg.min_per_s);
        if earned > 0 {
            self.last_refill += Duration::from_millis(passed.as_millis() as u64);
            self.credit(earned);
        }
    }

    fn credit(&mut self, permille: u64) {
        let max = u64::from(self.cfg.max_balance) * PERMILLE;
        self.balance_permille = (self.balance_permille + permille).min(max);
    }
}

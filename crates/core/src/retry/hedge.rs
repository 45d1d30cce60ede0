use std::time::Duration;

/// One step up plus one step down equal `1 / STEP_DIVISOR` of the estimate.
const STEP_DIVISOR: u32 = 16;
/// Ratio of a step up to a step down; 19:1 converges to the 19/20 quantile, the 95th percentile.
const UP_DOWN_RATIO: u32 = 19;
/// Lower bound of the estimate; its steps are proportional to it, so it could not rise from zero.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Delay before a hedged request: a running estimate of the 95th percentile of the time to first
/// token.
///
/// The estimate moves up when an observation is above it and down by a smaller step otherwise.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    delay: Duration,
}

impl HedgeDelay {
    /// Creates an estimate that starts at `initial`.
    pub fn new(initial: Duration) -> Self {
        Self { delay: initial.max(MIN_DELAY) }
    }

    /// Adds the time to first token of a first attempt.
    pub fn observe(&mut self, first_token: Duration) {
        let step = self.delay / STEP_DIVISOR / (UP_DOWN_RATIO + 1);
        self.delay = if first_token > self.delay {
            self.delay + step * UP_DOWN_RATIO
        } else {
            self.delay.saturating_sub(step).max(MIN_DELAY)
        };
    }

    /// Time to wait for a first token before hedging.
    pub fn delay(&self) -> Duration {
        self.delay
    }
}

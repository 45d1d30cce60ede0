use std::time::Duration;

/// Step of the estimate relative to itself, as a divisor.
const STEP_DIVISOR: u32 = 16;
/// Steps up for one step down: a percentile of 19/20.
const UP_STEPS: u32 = 19;
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Time to wait for a first token before a second attempt: the 95th percentile of late ones.
///
/// The percentile is tracked by steps: up when a request was slower, down when it was faster.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    delay: Duration,
}

impl HedgeDelay {
    /// Starts at a delay that is used until first tokens were seen.
    pub fn new(initial: Duration) -> Self {
        Self { delay: initial.max(MIN_DELAY) }
    }

    /// Notes the time to first token of a first try.
    pub fn observe(&mut self, first_token: Duration) {
        let step = self.delay / STEP_DIVISOR / (UP_STEPS + 1);
        self.delay = if first_token > self.delay {
            self.delay + step * UP_STEPS
        } else {
            self.delay.saturating_sub(step).max(MIN_DELAY)
        };
    }

    /// Time after which a hedge is worth its cost.
    pub fn delay(&self) -> Duration {
        self.delay
    }
}

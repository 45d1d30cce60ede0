use std::time::Duration;

/// Weight of the newest sample in the exponentially weighted moving average.
const NEWEST_SHARE: f64 = 0.2;
/// Minimum number of computed tokens in a sample; shorter runs say too little about the rate.
const MIN_TOKENS: u32 = 64;

/// Moving average of an engine's prefill time per prompt token.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    per_token_s: f64,
    is_measured: bool,
}

impl PrefillRate {
    /// Starts at `guess` per token; the first sample replaces it.
    pub fn new(guess: Duration) -> Self {
        Self { per_token_s: guess.as_secs_f64(), is_measured: false }
    }

    /// Adds a sample: the prompt tokens computed by a run and its time to first token.
    ///
    /// Runs with fewer than 64 computed tokens are ignored.
    pub fn on_run(&mut self, computed_tokens: u32, first_token: Duration) {
        if computed_tokens < MIN_TOKENS {
            return;
        }
        let newest = first_token.as_secs_f64() / f64::from(computed_tokens);
        let share = if self.is_measured { NEWEST_SHARE } else { 1.0 };
        self.per_token_s += share * (newest - self.per_token_s);
        self.is_measured = true;
    }

    /// Estimated prefill time per prompt token.
    pub fn per_token(&self) -> Duration {
        Duration::from_secs_f64(self.per_token_s.max(0.0))
    }
}

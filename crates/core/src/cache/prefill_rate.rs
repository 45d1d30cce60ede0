use std::time::Duration;

/// Weight of the newest sample in the exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.2;
/// Minimum number of computed tokens in a sample; shorter runs say too little about the rate.
const MIN_SAMPLE_TOKENS: u32 = 64;

/// Moving average of an engine's prefill time per prompt token.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    per_token_s: f64,
    has_sample: bool,
}

impl PrefillRate {
    /// Starts at `guess` per token; the first sample replaces it.
    pub fn new(guess: Duration) -> Self {
        Self { per_token_s: guess.as_secs_f64(), has_sample: false }
    }

    /// Adds a sample: the prompt tokens computed by a run and its time to first token.
    ///
    /// Runs with fewer than 64 computed tokens are ignored.
    pub fn observe(&mut self, computed_tokens: u32, first_token: Duration) {
        if computed_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = first_token.as_secs_f64() / f64::from(computed_tokens);
        let share = if self.has_sample { EWMA_WEIGHT } else { 1.0 };
        self.per_token_s += share * (sample - self.per_token_s);
        self.has_sample = true;
    }

    /// Estimated prefill time per prompt token.
    pub fn per_token(&self) -> Duration {
        Duration::from_secs_f64(self.per_token_s.max(0.0))
    }
}

use std::time::Duration;

/// Weight of the newest run in the mean.
const NEWEST_SHARE: f64 = 0.2;
/// Fewest computed tokens of a run that tell something of the rate.
const MIN_TOKENS: u32 = 64;

/// Mean time that an engine takes to compute one prompt token, from the runs it did.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    per_token_s: f64,
    is_measured: bool,
}

impl PrefillRate {
    /// Starts with a guess that the first run replaces.
    pub fn new(guess: Duration) -> Self {
        Self { per_token_s: guess.as_secs_f64(), is_measured: false }
    }

    /// Takes in a run: the prompt tokens it computed and the time to its first token.
    pub fn on_run(&mut self, computed_tokens: u32, first_token: Duration) {
        if computed_tokens < MIN_TOKENS {
            return;
        }
        let newest = first_token.as_secs_f64() / f64::from(computed_tokens);
        let share = if self.is_measured { NEWEST_SHARE } else { 1.0 };
        self.per_token_s += share * (newest - self.per_token_s);
        self.is_measured = true;
    }

    /// Time to compute one prompt token.
    pub fn per_token(&self) -> Duration {
        Duration::from_secs_f64(self.per_token_s.max(0.0))
    }
}

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Reachability of a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// Calls are answered.
    #[default]
    No,
    /// The port is closed and open connections are dropped.
    Refuse,
    /// Every call is answered with 503.
    Unavailable,
    /// Calls are accepted but not answered until this state is cleared.
    Hang,
}

/// Faults common to all stand-ins; probabilities are in permille of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AnswerFaults {
    /// Reachability of the stand-in.
    pub down: Down,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Probability that a call takes effect and its connection is then closed without a response.
    pub lose_answers_permille: u16,
    /// Number of upcoming calls that lose their response regardless of the probability.
    pub lose_next_answers: u32,
    /// Probability that a call is answered with 503 without taking effect.
    pub fail_before_permille: u16,
    /// Number of upcoming calls that are answered with 503 without taking effect, regardless of
    /// the probability.
    pub fail_next: u32,
}

impl AnswerFaults {
    /// Draws whether the next call loses its response; decrements `lose_next_answers` if positive.
    pub fn draw_lost_response(&mut self, rng: &mut impl Rng) -> bool {
        draw(&mut self.lose_next_answers, self.lose_answers_permille, rng)
    }

    /// Draws whether the next call fails before it takes effect; decrements `fail_next` if
    /// positive.
    pub fn draw_failure(&mut self, rng: &mut impl Rng) -> bool {
        draw(&mut self.fail_next, self.fail_before_permille, rng)
    }
}

fn draw(forced: &mut u32, permille: u16, rng: &mut impl Rng) -> bool {
    if *forced > 0 {
        *forced -= 1;
        return true;
    }
    permille > 0 && rng.random_range(0..1000) < permille
}

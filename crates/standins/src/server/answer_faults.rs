use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Whether a stand-in can be reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// It answers.
    #[default]
    No,
    /// Its port is closed and open connections are cut.
    Refuse,
    /// It answers every call with 503.
    Unavailable,
    /// It accepts calls and never answers while this lasts.
    Hang,
}

/// Faults that any stand-in can have; chances are in permille of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AnswerFaults {
    /// Whether the stand-in can be reached.
    pub down: Down,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Chance that a call takes effect and its connection is then cut without an answer.
    pub lose_answers_permille: u16,
    /// Number of calls from now on that certainly lose their answer.
    pub lose_next_answers: u32,
    /// Chance that a call is answered 503 without taking effect.
    pub fail_before_permille: u16,
    /// Number of calls from now on that are certainly answered 503 without taking effect.
    pub fail_next: u32,
}

impl AnswerFaults {
    /// Decides whether the next call loses its answer.
    pub fn draw_lost_answer(&mut self, rng: &mut impl Rng) -> bool {
        draw(&mut self.lose_next_answers, self.lose_answers_permille, rng)
    }

    /// Decides whether the next call fails before it takes effect.
    pub fn draw_failure(&mut self, rng: &mut impl Rng) -> bool {
        draw(&mut self.fail_next, self.fail_before_permille, rng)
    }
}

fn draw(certain: &mut u32, permille: u16, rng: &mut impl Rng) -> bool {
    if *certain > 0 {
        *certain -= 1;
        return true;
    }
    permille > 0 && rng.random_range(0..1000) < permille
}

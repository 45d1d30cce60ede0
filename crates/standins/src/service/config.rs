use crate::server::{AnswerFaults, ColdConfig};
use serde::{Deserialize, Serialize};

/// Settings of a plain service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Seed of every random choice, the boot number among them.
    pub seed: u64,
    /// Faults at start.
    pub faults: Faults,
    /// Cold start; none starts warm.
    pub cold: Option<ColdConfig>,
}

/// Faults of a plain service; a lost answer is lost after the execution.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Reachability, delay, lost answers and failures before execution.
    #[serde(flatten)]
    pub answers: AnswerFaults,
    /// Time from the execution to the answer, in milliseconds.
    pub latency_ms: u64,
    /// Once: turns cold.
    pub turn_cold: bool,
}

impl AsRef<AnswerFaults> for Faults {
    fn as_ref(&self) -> &AnswerFaults {
        &self.answers
    }
}

impl AsMut<AnswerFaults> for Faults {
    fn as_mut(&mut self) -> &mut AnswerFaults {
        &mut self.answers
    }
}

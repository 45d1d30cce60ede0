use crate::server::{AnswerFaults, ColdConfig};
use serde::{Deserialize, Serialize};

/// Settings of a plain service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Seed of the random number generator, which also draws the boot number reported at `/load`.
    pub seed: u64,
    /// Faults at start.
    pub faults: Faults,
    /// Cold-start behavior; `None` starts warm.
    pub cold: Option<ColdConfig>,
}

/// Faults of a plain service; a lost response is dropped after the execution.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Reachability, delay, lost responses and failures before execution.
    #[serde(flatten)]
    pub answers: AnswerFaults,
    /// Time between recording an execution and its response, in milliseconds; a cold service
    /// multiplies it by up to [`ColdConfig::slowdown`].
    pub latency_ms: u64,
    /// Makes a service that has cold-start settings cold once, then resets itself to false.
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

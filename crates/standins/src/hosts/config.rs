use super::Host;
use crate::server::AnswerFaults;
use serde::{Deserialize, Serialize};

/// Settings of the host list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Faults at start.
    pub faults: Faults,
    /// Hosts at start.
    pub hosts: Vec<Host>,
}

/// Faults of the host list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Reachability, delay, lost responses and failures.
    #[serde(flatten)]
    pub answers: AnswerFaults,
    /// Delay until a change of the list becomes visible to readers, in milliseconds.
    pub lag_ms: u64,
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

use crate::server::AnswerFaults;
use serde::{Deserialize, Serialize};

/// Settings of the key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Seed of every random choice.
    pub seed: u64,
    /// Faults at start.
    pub faults: Faults,
    /// Longest value, in bytes.
    pub max_value_bytes: usize,
    /// Revisions kept for watches and reads of the past.
    pub history_revisions: usize,
    /// Bytes of values kept for watches and reads of the past.
    pub history_bytes: usize,
    /// Whether leases run out on time while the service cannot be reached.
    pub leases_expire_while_down: bool,
    /// Time between progress notices of a watch that asked for them, in milliseconds.
    pub progress_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 1,
            faults: Faults::default(),
            max_value_bytes: 1024 * 1024,
            history_revisions: 100_000,
            history_bytes: 64 * 1024 * 1024,
            leases_expire_while_down: true,
            progress_ms: 1_000,
        }
    }
}

/// Faults of the key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Reachability, delay and lost answers; lost answers hit calls that write.
    #[serde(flatten)]
    pub answers: AnswerFaults,
    /// Writes a second; none is unlimited.
    pub writes_per_s: Option<f64>,
    /// Reads a second, each watch answer counted as one; none is unlimited.
    pub reads_per_s: Option<f64>,
    /// Longest time that a call over the rate waits before it is refused, in milliseconds.
    pub rate_wait_ms: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            answers: AnswerFaults::default(),
            writes_per_s: None,
            reads_per_s: None,
            rate_wait_ms: 1_000,
        }
    }
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

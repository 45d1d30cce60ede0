use crate::server::AnswerFaults;
use serde::{Deserialize, Serialize};

/// Settings of the key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Faults at start.
    pub faults: Faults,
    /// Maximum size of a value, in bytes.
    pub max_value_bytes: usize,
    /// Maximum number of revisions kept for watches and historical reads.
    pub history_revisions: usize,
    /// Maximum total size of the values kept for watches and historical reads, in bytes.
    pub history_bytes: usize,
    /// Whether leases expire while the store is unreachable; if not, they are renewed meanwhile.
    pub leases_expire_while_down: bool,
    /// Interval of progress notifications on watches that request them, in milliseconds.
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
    /// Reachability, delay, failures and lost responses; the last affect only puts, deletes,
    /// transactions, lease grants and lease revocations.
    #[serde(flatten)]
    pub answers: AnswerFaults,
    /// Limit on writes per second; `None` is unlimited.
    pub writes_per_s: Option<f64>,
    /// Limit on reads per second, with each watch response counted as one; `None` is unlimited.
    pub reads_per_s: Option<f64>,
    /// Maximum wait of a call over the rate limit, in milliseconds; beyond it, a call is refused.
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

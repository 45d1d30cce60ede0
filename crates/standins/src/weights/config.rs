use crate::server::AnswerFaults;
use serde::{Deserialize, Serialize};

/// Settings of the weight store; by default a lone reader takes 0.3 s.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Seed of every random choice.
    pub seed: u64,
    /// Faults at start.
    pub faults: Faults,
    /// Bytes of each weight version.
    pub weight_bytes: usize,
    /// Versions that exist, as `model/version`; empty stands for any.
    pub known: Vec<String>,
    /// Readers that get the full rate at once; more share it.
    pub full_rate_readers: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 1,
            faults: Faults::default(),
            weight_bytes: 300 * 1_024,
            known: Vec::new(),
            full_rate_readers: 3,
        }
    }
}

/// Faults of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Reachability, delay, lost answers and failures.
    #[serde(flatten)]
    pub answers: AnswerFaults,
    /// Bytes a second of one reader.
    pub reader_bytes_per_s: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self { answers: AnswerFaults::default(), reader_bytes_per_s: 1_024 * 1_000 }
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

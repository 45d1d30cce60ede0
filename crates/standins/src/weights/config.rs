use crate::server::AnswerFaults;
use serde::{Deserialize, Serialize};

/// Weight store configuration; with the defaults, a single read takes 0.3 s.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Faults active at startup.
    pub faults: Faults,
    /// Size of each weight version, in bytes.
    pub weight_bytes: usize,
    /// Existing versions, as `model/version`; if empty, every version exists.
    pub known: Vec<String>,
    /// Number of concurrent readers that get the full per-reader rate; more readers share the total
    /// rate of that many.
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

/// Injected faults of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Faults common to all stand-ins: reachability, delay, lost responses and failures.
    #[serde(flatten)]
    pub answers: AnswerFaults,
    /// Maximum rate of one reader, in bytes per second.
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

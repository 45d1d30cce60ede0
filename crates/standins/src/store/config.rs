use crate::server::AnswerFaults;
use serde::{Deserialize, Serialize};

/// Store host configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Faults active at startup.
    pub faults: Faults,
    /// Capacity of the memory tier, in bytes.
    pub memory_bytes: u64,
    /// Capacity of the disk tier, in bytes.
    pub disk_bytes: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 1,
            faults: Faults::default(),
            memory_bytes: 64 * 1024 * 1024,
            disk_bytes: 256 * 1024 * 1024,
        }
    }
}

/// Injected faults of a store host; probabilities are in permille of reads.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Faults common to all stand-ins: reachability, delay, lost responses and failures.
    #[serde(flatten)]
    pub answers: AnswerFaults,
    /// Link bandwidth in bytes per second, shared by all transfers; none is unlimited.
    pub link_bytes_per_s: Option<u64>,
    /// Disk bandwidth in bytes per second, shared by all transfers of the disk tier; none is
    /// unlimited.
    pub disk_bytes_per_s: Option<u64>,
    /// Whether both tiers report being full and reject writes, regardless of their contents; moves
    /// between tiers still succeed.
    pub full: bool,
    /// One-shot: loses all objects and their previous versions.
    pub lose_all: bool,
    /// Probability that a read returns the first half of an object as if it were complete.
    pub truncate_permille: u16,
    /// Probability that a read returns an object with one bit flipped.
    pub flip_permille: u16,
    /// Probability that a read returns another object.
    pub swap_permille: u16,
    /// Probability that a read returns the previous version of an object, or the last version of a
    /// deleted one.
    pub stale_permille: u16,
    /// Probability that the connection closes halfway through the body.
    pub cut_permille: u16,
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

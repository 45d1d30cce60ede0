use crate::server::AnswerFaults;
use serde::{Deserialize, Serialize};

/// Settings of a store host.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Seed of every random choice.
    pub seed: u64,
    /// Faults at start.
    pub faults: Faults,
    /// Bytes that the memory tier holds.
    pub memory_bytes: u64,
    /// Bytes that the disk tier holds.
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

/// Faults of a store host; chances are in permille of reads.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Reachability, delay, lost answers and failures.
    #[serde(flatten)]
    pub answers: AnswerFaults,
    /// Bytes a second of the link, shared by all transfers; none is unlimited.
    pub link_bytes_per_s: Option<u64>,
    /// Bytes a second of the disk tier; none is unlimited.
    pub disk_bytes_per_s: Option<u64>,
    /// Whether both tiers are full whatever they hold.
    pub full: bool,
    /// Once: loses all objects.
    pub lose_all: bool,
    /// Chance that a read gives only the first part of an object, as if it were whole.
    pub truncate_permille: u16,
    /// Chance that a read gives an object with one bit flipped.
    pub flip_permille: u16,
    /// Chance that a read gives another object.
    pub swap_permille: u16,
    /// Chance that a read gives what the name held before, also after a delete.
    pub stale_permille: u16,
    /// Chance that a read is cut in the middle of the body.
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

use super::{BlockId, Manifest};
use crate::ids::PieceKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Share by which each further position lowers a piece's value: a returning prompt reuses the
/// head of its pieces even if it differs further on, so tails go first.
const TAIL_DISCOUNT: f64 = 0.02;

/// Share of a sample, as a divisor, that is evicted at most: the rest of a sample is likely to be
/// worth more than the blocks that were not drawn.
const EVICTED_SHARE_DIVISOR: usize = 4;

/// Tier of a store host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StoreTier {
    /// Fast and small.
    Memory,
    /// Slow and large.
    Disk,
}

/// A block drawn from a store, with what is known of it.
#[derive(Clone, Debug)]
pub struct SampledBlock {
    /// Piece that its name carries.
    pub key: PieceKey,
    /// Block.
    pub block: BlockId,
    /// Tier that it lies in.
    pub tier: StoreTier,
    /// Length of the object.
    pub bytes: u64,
    /// Time since its last use.
    pub idle: Duration,
    /// Manifest that names it; none if no manifest does.
    pub manifest: Option<Manifest>,
    /// Whether the piece before it is kept, or it is the first.
    pub has_parent: bool,
}

/// What to do with a sampled block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Move it from memory to disk.
    Demote,
    /// Delete its manifest now and the block after the grace period.
    Drop,
    /// Delete the block: no manifest names it.
    DropOrphan,
}

/// Room wanted in each tier, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Bytes to free in memory.
    pub memory: u64,
    /// Bytes to free on disk.
    pub disk: u64,
    /// Bytes that disk can take now.
    pub disk_free: u64,
}

/// Value of keeping a block: computing time saved, by byte and by second of keeping it.
///
/// The rate of returns at idle time `t` is taken as `1 / (expected gap + t)`: long idle blocks
/// fade whatever was expected of them.
pub fn keep_value(manifest: &Manifest, idle: Duration) -> f64 {
    let return_rate = 1.0 / (manifest.expected_gap + idle).as_secs_f64().max(1.0);
    let saved_per_byte = manifest.recompute.as_secs_f64() / manifest.bytes.max(1) as f64;
    let order = 1.0 / (1.0 + TAIL_DISCOUNT * f64::from(manifest.position));
    return_rate * saved_per_byte * order
}

/// Chooses among sampled blocks which to demote or drop until the room is made.
///
/// At most a quarter of the sample goes, and blocks worth `worth` or more stay. A block without manifest goes once it was idle for `grace`,
/// and a block without its parent is worth nothing.
pub fn plan_eviction(
    samples: &[SampledBlock],
    mut room: Room,
    worth: f64,
    grace: Duration,
) -> Vec<(usize, Eviction)> {
    let mut plan: Vec<(usize, Eviction)> = Vec::new();
    let mut ranked: Vec<(usize, f64)> = Vec::new();
    for (index, sample) in samples.iter().enumerate() {
        match &sample.manifest {
            None if sample.idle >= grace => {
                plan.push((index, Eviction::DropOrphan));
                room.release(sample);
            }
            None => {}
            Some(manifest) if sample.has_parent => {
                ranked.push((index, keep_value(manifest, sample.idle)));
            }
            Some(_) => ranked.push((index, 0.0)),
        }
    }
    ranked.sort_by(|a, b| a.1.total_cmp(&b.1));
    let candidates = ranked.into_iter().filter(|(_, value)| *value < worth);
    let most = samples.len().div_ceil(EVICTED_SHARE_DIVISOR);
    plan.extend(candidates.take(most).filter_map(|(index, value)| {
        room.evict(&samples[index], value).map(|eviction| (index, eviction))
    }));
    plan
}

impl Room {
    fn release(&mut self, sample: &SampledBlock) {
        match sample.tier {
            StoreTier::Memory => self.memory = self.memory.saturating_sub(sample.bytes),
            StoreTier::Disk => {
                self.disk = self.disk.saturating_sub(sample.bytes);
                self.disk_free += sample.bytes;
            }
        }
    }

    fn evict(&mut self, sample: &SampledBlock, value: f64) -> Option<Eviction> {
        let wanted = match sample.tier {
            StoreTier::Memory => self.memory,
            StoreTier::Disk => self.disk,
        };
        if wanted == 0 {
            return None;
        }
        self.release(sample);
        let can_demote = sample.tier == StoreTier::Memory && value > 0.0;
        if can_demote && sample.bytes <= self.disk_free {
            self.disk_free -= sample.bytes;
            return Some(Eviction::Demote);
        }
        Some(Eviction::Drop)
    }
}

use super::{BlockId, Manifest};
use crate::ids::PieceKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Discount of the retention value per position in the prompt. A returning prompt reuses its
/// leading pieces even if it diverges later, so trailing pieces are evicted first.
const POSITION_DISCOUNT: f64 = 0.02;

/// At most `1 / EVICTED_SHARE_DIVISOR` of a sample, rounded up, is evicted: the remainder is likely
/// to be worth more than blocks outside the sample.
const EVICTED_SHARE_DIVISOR: usize = 4;

/// Storage tier of a cache store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StoreTier {
    /// Main memory: fast and small.
    Memory,
    /// Local disk: slow and large.
    Disk,
}

/// Block sampled from a store as a candidate for eviction.
#[derive(Clone, Debug)]
pub struct SampledBlock {
    /// Piece key, taken from the object name.
    pub key: PieceKey,
    /// Block ID, taken from the object name.
    pub block: BlockId,
    /// Tier that currently holds the block.
    pub tier: StoreTier,
    /// Length of the block object in bytes.
    pub bytes: u64,
    /// Time since the last access, as measured by the store.
    pub idle: Duration,
    /// Manifest that refers to this block; `None` if the block is orphaned.
    pub manifest: Option<Manifest>,
    /// Whether the preceding piece is stored too; true for the first piece of a prompt.
    pub has_parent: bool,
}

/// Action chosen for a sampled block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Move the block from memory to disk.
    Demote,
    /// Delete the manifest at once and the block after the grace period.
    Drop,
    /// Delete the block at once: no manifest refers to it.
    DropOrphan,
}

/// Number of bytes to free in each tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvictionTarget {
    /// Bytes to free in memory.
    pub memory: u64,
    /// Bytes to free on disk.
    pub disk: u64,
    /// Bytes available on disk for demoted blocks.
    pub disk_free: u64,
}

/// Retention value of a block: expected seconds of prefill saved per byte and second of storage.
///
/// The reuse rate after an idle time `t` is modelled as `1 / (expected_gap + t)`, so the value of
/// an unused block decays whatever its expected reuse interval was.
pub fn retention_value(manifest: &Manifest, idle: Duration) -> f64 {
    let reuse_rate = 1.0 / (manifest.expected_gap + idle).as_secs_f64().max(1.0);
    let saved_per_byte = manifest.recompute.as_secs_f64() / manifest.bytes.max(1) as f64;
    let position_factor = 1.0 / (1.0 + POSITION_DISCOUNT * f64::from(manifest.position));
    reuse_rate * saved_per_byte * position_factor
}

/// Selects the sampled blocks to demote or delete until the requested space is free.
///
/// Returns indexes into `samples` with the action for each. Blocks are taken in ascending order of
/// retention value; at most a quarter of the sample (rounded up) is taken, not counting orphans, and
/// no block with a value of `value_limit` or more. An orphaned block is deleted once it has been idle for `grace`; until then its manifest may
/// not have been written yet. A block whose parent is missing cannot be reused and has a value of 0.
pub fn plan_eviction(
    samples: &[SampledBlock],
    mut target: EvictionTarget,
    value_limit: f64,
    grace: Duration,
) -> Vec<(usize, Eviction)> {
    let mut plan: Vec<(usize, Eviction)> = Vec::new();
    let mut ranked: Vec<(usize, f64)> = Vec::new();
    for (index, sample) in samples.iter().enumerate() {
        match &sample.manifest {
            None if sample.idle >= grace => {
                plan.push((index, Eviction::DropOrphan));
                target.record_freed(sample);
            }
            None => {}
            Some(manifest) if sample.has_parent => {
                ranked.push((index, retention_value(manifest, sample.idle)));
            }
            Some(_) => ranked.push((index, 0.0)),
        }
    }
    ranked.sort_by(|a, b| a.1.total_cmp(&b.1));
    let candidates = ranked.into_iter().filter(|(_, value)| *value < value_limit);
    let max_evicted = samples.len().div_ceil(EVICTED_SHARE_DIVISOR);
    plan.extend(candidates.take(max_evicted).filter_map(|(index, value)| {
        target.evict(&samples[index], value).map(|eviction| (index, eviction))
    }));
    plan
}

impl EvictionTarget {
    fn record_freed(&mut self, sample: &SampledBlock) {
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
        self.record_freed(sample);
        let can_demote = sample.tier == StoreTier::Memory && value > 0.0;
        if can_demote && sample.bytes <= self.disk_free {
            self.disk_free -= sample.bytes;
            return Some(Eviction::Demote);
        }
        Some(Eviction::Drop)
    }
}

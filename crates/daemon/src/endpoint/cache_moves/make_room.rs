use super::{CacheMoves, counters::add, store_lane::StoreLane};
use cassiagw_core::{
    cache::{
        BLOCK_PREFIX, Eviction, EvictionTarget, SampledBlock, StoreTier, block_name, manifest_name,
        parse_block_name, plan_eviction,
    },
    ids::PieceKey,
};
use cassiagw_surfaces::store::{ObjectInfo, StoreUsage, TierUsage};
use futures::{FutureExt, StreamExt, future::ready, stream};
use std::sync::{Arc, atomic::Ordering};
use tokio::time::sleep;

/// Maximum number of consecutive samples drawn to get below the high-water mark.
const MAX_PASSES: usize = 8;
/// Sampled blocks whose manifests are read concurrently.
const SAMPLE_WIDTH: usize = 8;

impl CacheMoves {
    /// Evicts the least valuable blocks of up to `MAX_PASSES` samples while a tier is above its
    /// high-water mark.
    pub(super) async fn keep_below_high_water(self: &Arc<Self>, lane: &Arc<StoreLane>) {
        for _ in 0..MAX_PASSES {
            let usage = lane.client.usage(self.cfg.small_limit).await;
            let Ok(usage) = lane.note(usage) else { return };
            let room = EvictionTarget {
                memory: self.excess(lane, StoreTier::Memory, usage.memory),
                disk: self.excess(lane, StoreTier::Disk, usage.disk),
                ..EvictionTarget::default()
            };
            if room == EvictionTarget::default() {
                return;
            }
            self.make_room(lane, room, f64::INFINITY).await;
        }
    }

    /// Evicts sampled blocks of a lower retention value than `worth`; one task per store at a time.
    pub(super) async fn make_room(
        self: &Arc<Self>,
        lane: &Arc<StoreLane>,
        mut room: EvictionTarget,
        worth: f64,
    ) {
        let _only = lane.eviction.lock().await;
        let limit = self.cfg.small_limit;
        let Ok(usage) = lane.note(lane.client.usage(limit).await) else { return };
        room.disk_free = self.free(usage);
        let count = self.cfg.eviction_sample;
        let drawn = lane.client.sample(BLOCK_PREFIX, count, rand::random(), limit).await;
        let Ok(drawn) = lane.note(drawn) else { return };
        let looks = drawn.into_iter().map(|object| self.describe(lane, object).boxed());
        let samples: Vec<SampledBlock> =
            stream::iter(looks).buffered(SAMPLE_WIDTH).filter_map(ready).collect().await;
        for (index, eviction) in plan_eviction(&samples, room, worth, self.cfg.grace) {
            self.evict(lane, &samples[index], eviction).await;
        }
    }

    async fn describe(&self, lane: &StoreLane, object: ObjectInfo) -> Option<SampledBlock> {
        let (key, block) = parse_block_name(&object.name)?;
        let manifest = self.read_any_manifest(lane, key).await;
        let manifest = manifest.filter(|manifest| manifest.block == block);
        let parent = manifest.as_ref().and_then(|manifest| manifest.parent);
        let has_parent = match parent {
            Some(parent) => self.has_manifest(lane, parent).await,
            None => true,
        };
        let (tier, bytes, idle) = (object.tier, object.bytes, object.idle);
        Some(SampledBlock { key, block, tier, bytes, idle, manifest, has_parent })
    }

    /// A store that does not answer is assumed to have the manifest.
    async fn has_manifest(&self, lane: &StoreLane, key: PieceKey) -> bool {
        let length = lane.client.length(&manifest_name(key), self.cfg.small_limit).await;
        !matches!(length, Ok(None))
    }

    async fn evict(self: &Arc<Self>, lane: &Arc<StoreLane>, sample: &SampledBlock, how: Eviction) {
        let name = block_name(sample.key, sample.block);
        let limit = self.cfg.small_limit;
        match how {
            Eviction::Demote => {
                let moved = lane.client.move_to(&name, StoreTier::Disk, limit).await;
                add(&self.counters.demoted_blocks, u64::from(lane.note(moved).is_ok()));
            }
            Eviction::Drop => {
                if self.drop_manifest(lane, sample.key).await {
                    add(lane.dropped.of(sample.tier), sample.bytes);
                    tokio::spawn(self.clone().delete_later(lane.clone(), sample.clone()));
                    add(&self.counters.evicted_blocks, 1);
                }
            }
            Eviction::DropOrphan => {
                let deleted = lane.client.delete(&name, limit).await;
                add(&self.counters.evicted_blocks, u64::from(lane.note(deleted).is_ok()));
            }
        }
    }

    /// Deletes a block after the grace period unless a manifest refers to it again. If this daemon
    /// stops before that, a later eviction finds the block as an orphan.
    async fn delete_later(self: Arc<Self>, lane: Arc<StoreLane>, sample: SampledBlock) {
        sleep(self.cfg.grace).await;
        let manifest = self.read_any_manifest(&lane, sample.key).await;
        if manifest.is_none_or(|manifest| manifest.block != sample.block) {
            let name = block_name(sample.key, sample.block);
            let _ = lane.note(lane.client.delete(&name, self.cfg.small_limit).await);
        }
        lane.dropped.of(sample.tier).fetch_sub(sample.bytes, Ordering::Relaxed);
    }

    /// Bytes above the high-water mark, without those of blocks already awaiting deletion.
    fn excess(&self, lane: &StoreLane, tier: StoreTier, usage: TierUsage) -> u64 {
        let mark = usage.limit / 100 * self.cfg.high_water_percent;
        let dropped = lane.dropped.of(tier).load(Ordering::Relaxed);
        usage.used.saturating_sub(mark + dropped)
    }

    fn free(&self, usage: StoreUsage) -> u64 {
        let mark = usage.disk.limit / 100 * self.cfg.high_water_percent;
        mark.saturating_sub(usage.disk.used)
    }
}

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
    pub(super) async fn evict_above_high_water(self: &Arc<Self>, lane: &Arc<StoreLane>) {
        for _ in 0..MAX_PASSES {
            let usage = lane.client.usage(self.cfg.request_timeout).await;
            let Ok(usage) = lane.record_result(usage) else { return };
            let target = EvictionTarget {
                memory: self.excess_bytes(lane, StoreTier::Memory, usage.memory),
                disk: self.excess_bytes(lane, StoreTier::Disk, usage.disk),
                ..EvictionTarget::default()
            };
            if target == EvictionTarget::default() {
                return;
            }
            self.evict_sampled(lane, target, f64::INFINITY).await;
        }
    }

    /// Evicts sampled blocks of a lower retention value than `max_value`.
    ///
    /// Only one task of this daemon at a time evicts blocks of a store.
    pub(super) async fn evict_sampled(
        self: &Arc<Self>,
        lane: &Arc<StoreLane>,
        mut target: EvictionTarget,
        max_value: f64,
    ) {
        let _guard = lane.eviction.lock().await;
        let limit = self.cfg.request_timeout;
        let Ok(usage) = lane.record_result(lane.client.usage(limit).await) else { return };
        target.disk_free = self.free_disk_bytes(usage);
        let count = self.cfg.eviction_sample;
        let sampled = lane.client.sample(BLOCK_PREFIX, count, rand::random(), limit).await;
        let Ok(sampled) = lane.record_result(sampled) else { return };
        let lookups = sampled.into_iter().map(|object| self.read_sample(lane, object).boxed());
        let samples: Vec<SampledBlock> =
            stream::iter(lookups).buffered(SAMPLE_WIDTH).filter_map(ready).collect().await;
        for (index, eviction) in plan_eviction(&samples, target, max_value, self.cfg.grace) {
            self.evict(lane, &samples[index], eviction).await;
        }
    }

    async fn read_sample(&self, lane: &StoreLane, object: ObjectInfo) -> Option<SampledBlock> {
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
        let length = lane.client.length(&manifest_name(key), self.cfg.request_timeout).await;
        !matches!(length, Ok(None))
    }

    async fn evict(
        self: &Arc<Self>,
        lane: &Arc<StoreLane>,
        sample: &SampledBlock,
        eviction: Eviction,
    ) {
        let name = block_name(sample.key, sample.block);
        let limit = self.cfg.request_timeout;
        match eviction {
            Eviction::Demote => {
                let moved = lane.client.move_to(&name, StoreTier::Disk, limit).await;
                add(&self.counters.demoted_blocks, u64::from(lane.record_result(moved).is_ok()));
            }
            Eviction::Drop => {
                if self.drop_manifest(lane, sample.key).await {
                    add(lane.pending_deletion.of(sample.tier), sample.bytes);
                    tokio::spawn(self.clone().delete_after_grace(lane.clone(), sample.clone()));
                    add(&self.counters.evicted_blocks, 1);
                }
            }
            Eviction::DropOrphan => {
                let deleted = lane.client.delete(&name, limit).await;
                add(&self.counters.evicted_blocks, u64::from(lane.record_result(deleted).is_ok()));
            }
        }
    }

    /// Deletes a block after the grace period unless a manifest refers to it again. If this daemon
    /// stops before that, a later eviction finds the block as an orphan.
    async fn delete_after_grace(self: Arc<Self>, lane: Arc<StoreLane>, sample: SampledBlock) {
        sleep(self.cfg.grace).await;
        let manifest = self.read_any_manifest(&lane, sample.key).await;
        if manifest.is_none_or(|manifest| manifest.block != sample.block) {
            let name = block_name(sample.key, sample.block);
            let _ = lane.record_result(lane.client.delete(&name, self.cfg.request_timeout).await);
        }
        lane.pending_deletion.of(sample.tier).fetch_sub(sample.bytes, Ordering::Relaxed);
    }

    /// Bytes above the high-water mark, without those of blocks already awaiting deletion.
    fn excess_bytes(&self, lane: &StoreLane, tier: StoreTier, usage: TierUsage) -> u64 {
        let high_water = usage.limit / 100 * self.cfg.high_water_percent;
        let pending = lane.pending_deletion.of(tier).load(Ordering::Relaxed);
        usage.used.saturating_sub(high_water + pending)
    }

    fn free_disk_bytes(&self, usage: StoreUsage) -> u64 {
        let high_water = usage.disk.limit / 100 * self.cfg.high_water_percent;
        high_water.saturating_sub(usage.disk.used)
    }
}

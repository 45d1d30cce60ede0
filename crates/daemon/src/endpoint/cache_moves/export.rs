use super::{CacheMoves, PromptRun, counters::add, store_lane::StoreLane};
use bytes::Bytes;
use cassiagw_core::{
    cache::{
        BlockId, EvictionTarget, Manifest, StoreTier, block_name, encode_block, manifest_name,
        retention_value,
    },
    links::{Transfer, TransferClass},
};
use cassiagw_surfaces::store::StoreError;
use futures::{FutureExt, StreamExt, stream};
use std::{
    sync::{Arc, Weak},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout},
};

/// Blocks of one run exported concurrently.
const EXPORT_WIDTH: usize = 4;

/// A finished run, some of whose pieces may not be in a store yet.
pub(super) struct ExportJob {
    pub run: PromptRun,
    pub lanes: Vec<Arc<StoreLane>>,
    pub recompute: Duration,
    pub expected_gap: Duration,
}

/// Exports finished runs one after another until [`CacheMoves`] is dropped.
pub(super) async fn export_jobs(moves: Weak<CacheMoves>, mut jobs: mpsc::Receiver<ExportJob>) {
    let mut next_usage = Instant::now();
    while let Some(job) = jobs.recv().await {
        let Some(moves) = moves.upgrade() else { return };
        let Some(lane) = job.lanes.first().filter(|lane| lane.is_usable()) else { continue };
        let exports =
            (0..job.run.pieces.len()).map(|index| moves.export(lane, &job, index).boxed());
        stream::iter(exports).buffer_unordered(EXPORT_WIDTH).collect::<()>().await;
        if Instant::now() >= next_usage {
            moves.evict_above_high_water(lane).await;
            next_usage = Instant::now() + moves.cfg.usage_interval;
        }
    }
}

impl CacheMoves {
    /// Exports one piece unless a store already has it or the engine does not return it.
    async fn export(self: &Arc<Self>, lane: &Arc<StoreLane>, job: &ExportJob, index: usize) {
        let key = job.run.pieces[index];
        if self.was_seen_in_store(&key) || !lane.is_usable() {
            return;
        }
        for lane in &job.lanes {
            if self.read_any_manifest(lane, key).await.is_some() {
                return self.record_seen_in_store([key].into_iter());
            }
        }
        let Ok(Some(payload)) = self.engine.export_block(key, self.cfg.block_timeout).await else {
            return self.set_held(&[key], false);
        };
        match self.write(lane, job, index, &payload).await {
            Ok(bytes) => {
                self.record_seen_in_store([key].into_iter());
                add(&self.counters.exported_tokens, u64::from(job.run.piece_tokens));
                add(&self.counters.exported_bytes, bytes);
            }
            Err(error) => {
                add(&self.counters.failed_exports, 1);
                log::info!(event = "export_failed", store:% = lane.store, piece:% = key,
                    error:% = error; "");
            }
        }
    }

    /// Writes a block under a new name and then its manifest.
    async fn write(
        self: &Arc<Self>,
        lane: &Arc<StoreLane>,
        job: &ExportJob,
        index: usize,
        payload: &[u8],
    ) -> Result<u64, StoreError> {
        let key = job.run.pieces[index];
        let block: BlockId = rand::random();
        let object = Bytes::from(encode_block(key, payload));
        let bytes = object.len() as u64;
        let manifest = job.manifest(index, block, &object);
        self.put_block(lane, &job.run, &manifest, object).await?;
        let limit = self.cfg.request_timeout;
        let published = self.publish(lane, &manifest).await;
        if published.is_err() {
            let _ = lane.client.delete(&block_name(key, block), limit).await;
        }
        published.map(|()| bytes)
    }

    /// Writes the manifest of a block after checking the length of the block at the store.
    async fn publish(&self, lane: &StoreLane, manifest: &Manifest) -> Result<(), StoreError> {
        let limit = self.cfg.request_timeout;
        let (key, bytes) = (manifest.key, manifest.bytes);
        let block = block_name(key, manifest.block);
        let written = lane.record_result(lane.client.length(&block, limit).await)?;
        if written != Some(bytes) {
            return Err(StoreError::Malformed(format!(
                "wrote {bytes} bytes, store has {written:?}"
            )));
        }
        let (name, object) = (manifest_name(key), Bytes::from(manifest.encode()));
        let put = lane.client.put(&name, object.clone(), StoreTier::Memory, limit).await;
        match lane.record_result(put) {
            Err(StoreError::Full) => {
                lane.record_result(lane.client.put(&name, object, StoreTier::Disk, limit).await)
            }
            put => put,
        }
    }

    /// Writes a block to the memory tier, evicting blocks if it is full, or else to the disk tier.
    async fn put_block(
        self: &Arc<Self>,
        lane: &Arc<StoreLane>,
        run: &PromptRun,
        manifest: &Manifest,
        object: Bytes,
    ) -> Result<(), StoreError> {
        let first = self.put_in(lane, run, manifest, object.clone(), StoreTier::Memory).await;
        if first != Err(StoreError::Full) {
            return first;
        }
        let target = EvictionTarget { memory: manifest.bytes, ..EvictionTarget::default() };
        let value = retention_value(manifest, Duration::ZERO);
        self.evict_sampled(lane, target, value).await;
        let second = self.put_in(lane, run, manifest, object.clone(), StoreTier::Memory).await;
        if second != Err(StoreError::Full) {
            return second;
        }
        self.put_in(lane, run, manifest, object, StoreTier::Disk).await
    }

    async fn put_in(
        &self,
        lane: &StoreLane,
        run: &PromptRun,
        manifest: &Manifest,
        object: Bytes,
        tier: StoreTier,
    ) -> Result<(), StoreError> {
        let name = block_name(manifest.key, manifest.block);
        let transfer = Transfer {
            workspace: run.workspace.clone(),
            weight: run.weight,
            class: TransferClass::Background,
            bytes: manifest.bytes,
        };
        let put = lane.client.put(&name, object, tier, self.cfg.block_timeout);
        let timed_out = Err(StoreError::Malformed("timed out waiting for the link".to_owned()));
        timeout(self.cfg.block_timeout * 2, lane.transfer(transfer, put)).await.unwrap_or(timed_out)
    }
}

impl ExportJob {
    fn manifest(&self, index: usize, block: BlockId, object: &[u8]) -> Manifest {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
        Manifest {
            key: self.run.pieces[index],
            parent: index.checked_sub(1).map(|parent| self.run.pieces[parent]),
            position: u32::try_from(index).unwrap_or(u32::MAX),
            block,
            bytes: object.len() as u64,
            blake3: *blake3::hash(object).as_bytes(),
            version: self.run.version.clone(),
            tokens: self.run.piece_tokens,
            recompute: self.recompute,
            expected_gap: self.expected_gap,
            written_unix_s: now,
            last_use_unix_s: now,
        }
    }
}

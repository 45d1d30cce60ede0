use super::{CacheMoves, PromptRun, counters::add, store_lane::StoreLane};
use cassiagw_core::{
    cache::{Manifest, ManifestError, manifest_name},
    ids::{PieceKey, VersionId},
};
use futures::{StreamExt, future::join_all, stream};
use std::sync::Arc;

/// Manifests read concurrently.
const LOOKUP_WIDTH: usize = 16;
/// Maximum number of pieces of one prompt that are looked up.
const MAX_LOOKUPS: usize = 512;

/// Blocks of a prompt that one store has.
pub(super) struct StoredPrompt {
    pub lane: Arc<StoreLane>,
    /// Manifest by position in the prompt; `None` for a piece not found or not looked up.
    pub manifests: Vec<Option<Manifest>>,
}

impl CacheMoves {
    /// Finds the store that has the longest prefix of a prompt's missing pieces.
    pub(super) async fn look_up(
        &self,
        lanes: &[Arc<StoreLane>],
        run: &PromptRun,
        is_held: &[bool],
    ) -> Option<StoredPrompt> {
        let searches = lanes.iter().map(|lane| self.look_up_in(lane, run, is_held));
        let found = join_all(searches).await;
        // `max_by_key` returns the last maximum: reversed, a tie goes to the most preferred store.
        found.into_iter().rev().max_by_key(|stored| stored.manifests.iter().flatten().count())
    }

    async fn look_up_in(
        &self,
        lane: &Arc<StoreLane>,
        run: &PromptRun,
        is_held: &[bool],
    ) -> StoredPrompt {
        let missing = (0..run.pieces.len()).filter(|index| !is_held[*index]).take(MAX_LOOKUPS);
        let reads = missing.map(|index| async move {
            let manifest = self.read_manifest(lane, run.pieces[index], &run.version).await;
            (index, manifest)
        });
        let mut manifests = vec![None; run.pieces.len()];
        let mut found = stream::iter(reads).buffered(self.lookup_width(run, is_held));
        while let Some((index, Some(manifest))) = found.next().await {
            manifests[index] = Some(manifest);
        }
        StoredPrompt { lane: lane.clone(), manifests }
    }

    fn lookup_width(&self, run: &PromptRun, is_held: &[bool]) -> usize {
        let missing = run.pieces.len() - is_held.iter().filter(|held| **held).count();
        missing.clamp(1, LOOKUP_WIDTH)
    }

    /// Reads a manifest and checks its weight version; an invalid one is deleted.
    pub(super) async fn read_manifest(
        &self,
        lane: &StoreLane,
        key: PieceKey,
        version: &VersionId,
    ) -> Option<Manifest> {
        let manifest = self.read_any_manifest(lane, key).await?;
        match manifest.check_version(version) {
            Ok(()) => Some(manifest),
            Err(fault) => self.reject_manifest(lane, key, &fault).await,
        }
    }

    /// Reads a manifest of any weight version; an invalid one is deleted.
    pub(super) async fn read_any_manifest(
        &self,
        lane: &StoreLane,
        key: PieceKey,
    ) -> Option<Manifest> {
        let read = lane.client.get(&manifest_name(key), self.cfg.request_timeout).await;
        let object = lane.record_result(read).ok()??;
        match Manifest::decode(&object, key) {
            Ok(manifest) => Some(manifest),
            Err(fault) => self.reject_manifest(lane, key, &fault).await,
        }
    }

    async fn reject_manifest(
        &self,
        lane: &StoreLane,
        key: PieceKey,
        fault: &ManifestError,
    ) -> Option<Manifest> {
        add(&self.counters.rejected_objects, 1);
        log::warn!(event = "manifest_rejected", store:% = lane.store, piece:% = key,
            error:% = fault; "");
        self.drop_manifest(lane, key).await;
        None
    }

    /// Deletes a manifest, so that its block is not read again; returns whether that succeeded.
    pub(super) async fn drop_manifest(&self, lane: &StoreLane, key: PieceKey) -> bool {
        self.forget_seen_in_store(&key);
        let deleted = lane.client.delete(&manifest_name(key), self.cfg.request_timeout).await;
        lane.record_result(deleted).is_ok()
    }
}

use super::{
    CacheMoves, PromptRun, counters::add, shared_fetch::SharedFetch, store_lane::StoreLane,
};
use bytes::Bytes;
use cassiagw_core::{
    cache::{Manifest, block_name, verify_block},
    links::{Transfer, TransferClass},
};
use cassiagw_surfaces::store::StoreError;
use std::{future::Future, sync::Arc};
use tokio::time::timeout;

/// HTTP status for an object that the store does not have.
const NOT_FOUND: u16 = 404;

impl CacheMoves {
    /// Starts the fetch of a piece and its import by the engine, or joins one in progress.
    pub(super) fn fetch(
        self: &Arc<Self>,
        lane: &Arc<StoreLane>,
        run: &PromptRun,
        manifest: Manifest,
    ) -> SharedFetch {
        let transfer = Transfer {
            workspace: run.workspace.clone(),
            weight: run.weight,
            class: TransferClass::Urgent,
            bytes: manifest.bytes,
        };
        let (moves, lane, key) = (self.clone(), lane.clone(), manifest.key);
        let fetch = async move { moves.fetch_and_import(&lane, transfer, &manifest).await };
        let (shared, is_joined) = self.fetches.join(key, fetch);
        add(&self.counters.joined_fetches, u64::from(is_joined));
        shared
    }

    async fn fetch_and_import(
        &self,
        lane: &StoreLane,
        transfer: Transfer,
        manifest: &Manifest,
    ) -> bool {
        let read = self.read_block(lane, transfer, manifest);
        let payload = timeout(self.cfg.block_timeout, read).await.unwrap_or_default();
        let is_imported = match payload {
            Some(payload) => self.import(manifest, payload).await,
            None => false,
        };
        add(&self.counters.failed_fetches, u64::from(!is_imported));
        is_imported
    }

    /// Reads a block and verifies it; the manifest of a missing or corrupt block is deleted.
    async fn read_block(
        &self,
        lane: &StoreLane,
        transfer: Transfer,
        manifest: &Manifest,
    ) -> Option<Bytes> {
        let name = block_name(manifest.key, manifest.block);
        let read = lane.client.get(&name, self.cfg.block_timeout);
        let object = match lane.transfer(transfer, require_found(read)).await {
            Ok(object) => object,
            Err(StoreError::Refused { status: NOT_FOUND }) => {
                self.drop_manifest(lane, manifest.key).await;
                return None;
            }
            Err(error) => {
                log::warn!(event = "fetch_failed", store:% = lane.store, piece:% = manifest.key,
                    error:% = error; "");
                return None;
            }
        };
        match verify_block(manifest, &object) {
            Ok(payload) => Some(object.slice(payload)),
            Err(fault) => {
                add(&self.counters.rejected_objects, 1);
                log::warn!(event = "block_rejected", store:% = lane.store, piece:% = manifest.key,
                    error:% = fault; "");
                self.drop_manifest(lane, manifest.key).await;
                None
            }
        }
    }

    /// Imports a verified block into the engine; returns whether the engine accepted it.
    async fn import(&self, manifest: &Manifest, payload: Bytes) -> bool {
        let imported =
            self.engine.import_block(manifest.key, payload, self.cfg.block_timeout).await;
        if let Err(error) = imported {
            log::warn!(event = "import_failed", piece:% = manifest.key, error:% = error; "");
            return false;
        }
        self.set_held(&[manifest.key], true);
        add(&self.counters.fetched_tokens, u64::from(manifest.tokens));
        add(&self.counters.fetched_bytes, manifest.bytes);
        true
    }
}

/// Turns a missing object into an error, which does not count as a measurement of the link's speed.
async fn require_found(
    read: impl Future<Output = Result<Option<Bytes>, StoreError>>,
) -> Result<Bytes, StoreError> {
    read.await?.ok_or(StoreError::Refused { status: NOT_FOUND })
}

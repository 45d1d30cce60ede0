use super::{
    CacheConfig, CacheCounts, LinkDump, Prepared, PromptRun, RunUsage,
    counters::{Counters, add},
    export::{ExportJob, export_jobs},
    follow_events::{EventCursor, follow_events},
    prefill_gate::{PrefillGate, PrefillPermit},
    shared_fetch::FetchTable,
    store_lane::StoreLane,
};
use cassiagw_core::{
    cache::{EngineCacheIndex, LOOKUP_STORES, PrefillRate, ReusePredictor, store_order},
    ids::{BootId, BoundedMap, FastMap, PieceKey, StoreId, ZoneId},
    settings::Tree,
};
use cassiagw_surfaces::{engine::EngineClient, http::HttpClient, store::StoreClient};
use serde::Serialize;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant as StdInstant},
};
use tokio::{sync::mpsc, time::Instant};

/// Capacity of the table of workspaces in the reuse predictor.
const REMEMBERED_WORKSPACES: usize = 1_000;

/// Transfers between the prefix cache of one engine and the stores.
pub struct CacheMoves {
    pub(super) cfg: CacheConfig,
    pub(super) engine: EngineClient,
    pub(super) counters: Counters,
    pub(super) fetches: FetchTable,
    zone: ZoneId,
    http: HttpClient,
    pub(super) prefill_gate: Arc<PrefillGate>,
    pub(super) events: tokio::sync::Mutex<EventCursor>,
    pub(super) engine_index: Mutex<EngineCacheIndex>,
    pub(super) reuse_predictor: Mutex<ReusePredictor>,
    pub(super) prefill_rate: Mutex<PrefillRate>,
    seen_in_stores: Mutex<BoundedMap<PieceKey, Option<StdInstant>>>,
    lanes: Mutex<FastMap<StoreId, Arc<StoreLane>>>,
    exports: mpsc::Sender<ExportJob>,
}

/// State of one engine's cache transfers, written to state dumps.
#[derive(Clone, Debug, Serialize)]
pub struct CacheDump {
    /// Counters since the start of the daemon.
    pub counts: CacheCounts,
    /// Pieces for which it is tracked whether the engine holds them.
    pub remembered_pieces: usize,
    /// Prompts whose reuse intervals are tracked.
    pub remembered_prompts: usize,
    /// Links to the stores used so far.
    pub links: Vec<LinkDump>,
}

impl CacheMoves {
    /// Starts the background tasks of one engine; they end after the last handle is dropped.
    pub fn spawn(
        cfg: CacheConfig,
        zone: ZoneId,
        engine: EngineClient,
        http: HttpClient,
    ) -> Arc<Self> {
        let (exports, jobs) = mpsc::channel(cfg.export_queue_capacity);
        let moves = Arc::new(Self {
            cfg,
            engine,
            counters: Counters::default(),
            fetches: FetchTable::default(),
            zone,
            http,
            prefill_gate: Arc::default(),
            events: tokio::sync::Mutex::default(),
            engine_index: Mutex::new(EngineCacheIndex::new(cfg.remembered_pieces)),
            reuse_predictor: Mutex::new(ReusePredictor::new(
                cfg.remembered_pieces,
                REMEMBERED_WORKSPACES,
            )),
            prefill_rate: Mutex::new(PrefillRate::new(cfg.initial_prefill_per_token)),
            seen_in_stores: Mutex::new(BoundedMap::new(cfg.remembered_pieces)),
            lanes: Mutex::default(),
            exports,
        });
        tokio::spawn(export_jobs(Arc::downgrade(&moves), jobs));
        tokio::spawn(follow_events(Arc::downgrade(&moves), cfg.event_interval));
        moves
    }

    /// Waits until the engine's cache has room for a prompt. The caller keeps the returned value
    /// until the prompt's first token.
    pub async fn acquire_prefill(&self, run: &PromptRun, priority: i32) -> Option<PrefillPermit> {
        self.prefill_gate.acquire(run.pieces.len(), priority).await
    }

    /// Records a finished run and exports in the background the pieces that no store has yet.
    pub fn finish_run(&self, tree: &Tree, run: PromptRun, prepared: Prepared, usage: RunUsage) {
        add(&self.counters.prompt_tokens, u64::from(usage.prompt_tokens));
        add(&self.counters.computed_tokens, u64::from(usage.computed_tokens));
        if let Some(first_token) = usage.first_token {
            lock(&self.prefill_rate).observe(usage.computed_tokens, first_token);
        }
        let cached_tokens = usage.prompt_tokens.saturating_sub(usage.computed_tokens);
        let cached = (cached_tokens / run.piece_tokens.max(1)) as usize;
        let unused = prepared.held.saturating_sub(cached).min(prepared.imported);
        add(&self.counters.unused_imports, unused as u64);
        self.set_held(&run.pieces, true);
        let Some(root) = run.pieces.first() else { return };
        let lanes = self.usable_lanes(tree, *root, LOOKUP_STORES);
        let recompute = lock(&self.prefill_rate).per_token() * run.piece_tokens;
        let job = ExportJob { run, lanes, recompute, expected_gap: prepared.expected_gap };
        if self.exports.try_send(job).is_err() {
            add(&self.counters.skipped_exports, 1);
        }
    }

    /// Clears the record of what the engine holds if the engine was restarted.
    pub fn on_engine_boot(&self, boot: BootId) {
        lock(&self.engine_index).on_boot(boot);
    }

    /// Returns whether the engine is assumed to hold a piece, by its events and the runs.
    pub fn holds(&self, key: &PieceKey) -> bool {
        lock(&self.engine_index).holds(key)
    }

    /// Returns the measured time to compute one prompt token.
    pub fn prefill_per_token(&self) -> Duration {
        lock(&self.prefill_rate).per_token()
    }

    /// Returns the current values of the counters.
    pub fn counts(&self) -> CacheCounts {
        self.counters.read()
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> CacheDump {
        CacheDump {
            counts: self.counts(),
            remembered_pieces: lock(&self.engine_index).len(),
            remembered_prompts: lock(&self.reuse_predictor).len(),
            links: lock(&self.lanes).values().map(|lane| lane.dump()).collect(),
        }
    }

    pub(super) fn set_held(&self, pieces: &[PieceKey], is_held: bool) {
        lock(&self.engine_index).set_held(pieces, is_held);
    }

    pub(super) fn was_seen_in_store(&self, key: &PieceKey) -> bool {
        let now = Instant::now().into_std();
        let seen = lock(&self.seen_in_stores).peek(key).copied().flatten();
        seen.is_some_and(|seen| now - seen < self.cfg.seen_in_store_ttl)
    }

    pub(super) fn record_seen_in_store(&self, keys: impl Iterator<Item = PieceKey>) {
        let now = Instant::now().into_std();
        let mut seen_in_stores = lock(&self.seen_in_stores);
        keys.for_each(|key| *seen_in_stores.entry(&key, || None) = Some(now));
    }

    pub(super) fn forget_seen_in_store(&self, key: &PieceKey) {
        *lock(&self.seen_in_stores).entry(key, || None) = None;
    }

    pub(super) fn which_held(&self, pieces: &[PieceKey]) -> Vec<bool> {
        let engine_index = lock(&self.engine_index);
        pieces.iter().map(|key| engine_index.holds(key)).collect()
    }

    /// Returns the first `count` usable stores in the preference order of a prompt.
    ///
    /// Drops the links to stores that the settings removed or gave another address.
    pub(super) fn usable_lanes(
        &self,
        tree: &Tree,
        root: PieceKey,
        count: usize,
    ) -> Vec<Arc<StoreLane>> {
        let mut lanes = lock(&self.lanes);
        lanes.retain(|store, lane| {
            tree.stores.get(store).is_some_and(|entry| entry.address == lane.address)
        });
        store_order(tree, &self.zone, root)
            .into_iter()
            .map(|(store, entry)| {
                let new_lane = || {
                    let client = StoreClient::new(self.http.clone(), entry.address);
                    Arc::new(StoreLane::new(store.clone(), entry.address, client, self.cfg.window))
                };
                lanes.entry(store.clone()).or_insert_with(new_lane).clone()
            })
            .filter(|lane| lane.is_usable())
            .take(count)
            .collect()
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

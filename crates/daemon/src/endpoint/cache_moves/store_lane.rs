use super::LinkDump;
use cassiagw_core::{
    cache::StoreTier,
    ids::{FastMap, StoreId},
    links::{Link, Transfer, TransferEstimate, TransferId, TransferOutcome, WindowConfig},
};
use cassiagw_surfaces::store::{StoreClient, StoreError};
use std::{
    future::Future,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError, atomic::AtomicU64},
    time::{Duration, Instant as StdInstant},
};
use tokio::{sync::oneshot, time::Instant};

/// Consecutive failures after which a store is suspended.
const MAX_FAILURES: u32 = 2;
/// First suspension of a store; doubled with each further failure.
const MIN_SUSPENSION: Duration = Duration::from_secs(1);
/// Longest suspension of a store.
const MAX_SUSPENSION: Duration = Duration::from_secs(30);

/// Access to one store: its client, its link, which limits the bytes in flight, and its
/// availability.
pub(super) struct StoreLane {
    pub store: StoreId,
    pub address: SocketAddr,
    pub client: StoreClient,
    /// Bytes of blocks whose manifest was deleted and that wait for their own deletion.
    pub pending_deletion: PendingDeletionBytes,
    /// Held during an eviction, so that only one task of this daemon evicts at a time.
    pub eviction: tokio::sync::Mutex<()>,
    state: Mutex<State>,
}

/// Bytes of blocks that wait for their deletion, by tier.
#[derive(Debug, Default)]
pub(super) struct PendingDeletionBytes {
    memory: AtomicU64,
    disk: AtomicU64,
}

impl PendingDeletionBytes {
    pub fn of(&self, tier: StoreTier) -> &AtomicU64 {
        match tier {
            StoreTier::Memory => &self.memory,
            StoreTier::Disk => &self.disk,
        }
    }
}

struct State {
    link: Link,
    start_senders: FastMap<TransferId, oneshot::Sender<()>>,
    failures: u32,
    suspended_until: Option<StdInstant>,
}

impl StoreLane {
    pub fn new(
        store: StoreId,
        address: SocketAddr,
        client: StoreClient,
        window: WindowConfig,
    ) -> Self {
        let state = State {
            link: Link::new(window),
            start_senders: FastMap::default(),
            failures: 0,
            suspended_until: None,
        };
        let (eviction, state) = (tokio::sync::Mutex::default(), Mutex::new(state));
        Self {
            store,
            address,
            client,
            pending_deletion: PendingDeletionBytes::default(),
            eviction,
            state,
        }
    }

    /// Returns whether the store is not suspended.
    pub fn is_usable(&self) -> bool {
        let now = Instant::now().into_std();
        self.lock().suspended_until.is_none_or(|end| end <= now)
    }

    /// Estimates the speed of a fetch that starts now.
    pub fn estimate(&self) -> TransferEstimate {
        self.lock().link.estimate()
    }

    /// Waits until the link admits the transfer, then runs `exchange`.
    pub async fn transfer<T>(
        &self,
        transfer: Transfer,
        exchange: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let (mut queued, started) = self.submit(transfer);
        // The sender is kept in the state until the transfer starts.
        let _ = started.await;
        let result = self.record_result(exchange.await);
        queued.outcome = match &result {
            Ok(_) => TransferOutcome::Completed,
            Err(StoreError::Http(_)) => TransferOutcome::Failed,
            Err(_) => TransferOutcome::Cancelled,
        };
        result
    }

    /// Records whether the store answered and passes the result through.
    pub fn record_result<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let now = Instant::now().into_std();
        let mut state = self.lock();
        match &result {
            Err(StoreError::Http(error)) => state.on_failure(now, &self.store, error),
            Err(StoreError::Refused { status }) if *status >= 500 => {
                state.on_failure(now, &self.store, status);
            }
            _ => {
                state.failures = 0;
                state.suspended_until = None;
            }
        }
        drop(state);
        result
    }

    pub fn dump(&self) -> LinkDump {
        let is_usable = self.is_usable();
        let state = self.lock();
        let (waiting_fetch_bytes, waiting_export_bytes) = state.link.waiting_bytes();
        LinkDump {
            store: self.store.clone(),
            is_usable,
            window_bytes: state.link.window_bytes(),
            in_flight_bytes: state.link.in_flight_bytes(),
            waiting_fetch_bytes,
            waiting_export_bytes,
            bytes_per_s: state.link.estimate().bytes_per_s as u64,
        }
    }

    fn submit(&self, transfer: Transfer) -> (QueuedTransfer<'_>, oneshot::Receiver<()>) {
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        let id = state.link.submit(transfer);
        state.start_senders.insert(id, tx);
        state.start_ready();
        (QueuedTransfer { lane: self, id, outcome: TransferOutcome::Failed }, rx)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn start_ready(&mut self) {
        for id in self.link.start_ready(Instant::now().into_std()) {
            if let Some(tx) = self.start_senders.remove(&id) {
                let _ = tx.send(());
            }
        }
    }

    /// Counts a failure. Those of requests still in progress at a suspension do not prolong it.
    fn on_failure(&mut self, now: StdInstant, store: &StoreId, error: &dyn std::fmt::Display) {
        if self.suspended_until.is_some_and(|end| end > now) {
            return;
        }
        self.failures += 1;
        if let Some(excess) = self.failures.checked_sub(MAX_FAILURES) {
            let time = MIN_SUSPENSION.saturating_mul(1 << excess.min(8)).min(MAX_SUSPENSION);
            self.suspended_until = Some(now + time);
            log::warn!(event = "store_suspended", store:% = store, error:% = error,
                ms = time.as_millis() as u64; "");
        }
    }
}

/// A transfer queued or running on the link; dropping it ends the transfer.
struct QueuedTransfer<'a> {
    lane: &'a StoreLane,
    id: TransferId,
    outcome: TransferOutcome,
}

impl Drop for QueuedTransfer<'_> {
    fn drop(&mut self) {
        let mut state = self.lane.lock();
        state.start_senders.remove(&self.id);
        state.link.finish(Instant::now().into_std(), self.id, self.outcome);
        state.start_ready();
    }
}

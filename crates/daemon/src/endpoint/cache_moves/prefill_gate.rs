use super::moves::lock;
use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex},
};
use tokio::sync::oneshot;

/// Share of the engine's cache, in percent, that prompts before their first token may occupy.
const LIMIT_PERCENT: usize = 75;

/// Limits the total pieces of the prompts that are fetched or computed concurrently.
///
/// If more prompts are prepared than fit, an engine with a full cache evicts imported pieces before
/// their run reads them. Nothing waits until the engine evicts for the first time.
#[derive(Default)]
pub(super) struct PrefillGate {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    is_full: bool,
    max_pieces: usize,
    reserved_pieces: usize,
    waiting: BTreeMap<(Reverse<i32>, u64), (usize, oneshot::Sender<PrefillPermit>)>,
    next_id: u64,
}

/// Reservation of room for one prompt in the engine's cache; dropping it releases the room.
pub struct PrefillPermit {
    gate: Arc<PrefillGate>,
    pieces: usize,
}

impl PrefillGate {
    /// Waits for room for a prompt of `pieces`; higher priorities first.
    pub async fn acquire(self: &Arc<Self>, pieces: usize, priority: i32) -> Option<PrefillPermit> {
        let (tx, rx) = oneshot::channel();
        lock(&self.state).push(pieces, priority, tx);
        self.start_ready();
        rx.await.ok()
    }

    /// Records the number of pieces that the engine holds; the maximum estimates its capacity.
    pub fn on_pieces(self: &Arc<Self>, pieces: usize) {
        let mut state = lock(&self.state);
        state.max_pieces = state.max_pieces.max(pieces);
        drop(state);
        self.start_ready();
    }

    /// Records that the engine evicted a piece, which shows that its cache is full.
    pub fn on_eviction(&self) {
        lock(&self.state).is_full = true;
    }

    /// Sends without the lock: a permit without a waiter is dropped, which takes the lock.
    fn start_ready(self: &Arc<Self>) {
        let started: Vec<_> = {
            let mut state = lock(&self.state);
            std::iter::from_fn(|| state.start_next()).collect()
        };
        for (pieces, tx) in started {
            let _ = tx.send(PrefillPermit { gate: self.clone(), pieces });
        }
    }
}

impl State {
    fn push(&mut self, pieces: usize, priority: i32, tx: oneshot::Sender<PrefillPermit>) {
        self.waiting.insert((Reverse(priority), self.next_id), (pieces, tx));
        self.next_id += 1;
    }

    fn start_next(&mut self) -> Option<(usize, oneshot::Sender<PrefillPermit>)> {
        let next = self.waiting.first_entry()?;
        let pieces = next.get().0;
        let limit = self.max_pieces * LIMIT_PERCENT / 100;
        // A prompt larger than the limit starts when no other has a reservation.
        if self.is_full && self.reserved_pieces > 0 && self.reserved_pieces + pieces > limit {
            return None;
        }
        self.reserved_pieces += pieces;
        Some(next.remove())
    }
}

impl Drop for PrefillPermit {
    fn drop(&mut self) {
        lock(&self.gate.state).reserved_pieces -= self.pieces;
        self.gate.start_ready();
    }
}

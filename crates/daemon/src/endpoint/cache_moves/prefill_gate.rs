use super::moves::lock;
use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex},
};
use tokio::sync::oneshot;

/// Share of the engine's cache, in percent, that prompts before their first token may need.
const LIMIT_PERCENT: usize = 75;

/// Bound on the pieces of prompts that are fetched or computed at once.
///
/// An engine whose cache is full evicts imported pieces before their run reads them if more
/// prompts are prepared than fit. Until it evicts for the first time nothing waits here.
#[derive(Default)]
pub(super) struct PrefillGate {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    is_full: bool,
    most_pieces: usize,
    used: usize,
    waiting: BTreeMap<(Reverse<i32>, u64), (usize, oneshot::Sender<PrefillTurn>)>,
    next: u64,
}

/// Room for one prompt in the engine's cache until its first token; dropping it gives it back.
pub struct PrefillTurn {
    gate: Arc<PrefillGate>,
    pieces: usize,
}

impl PrefillGate {
    /// Waits for room for a prompt; a higher priority goes first.
    pub async fn enter(self: &Arc<Self>, pieces: usize, priority: i32) -> Option<PrefillTurn> {
        let (tx, rx) = oneshot::channel();
        lock(&self.state).push(pieces, priority, tx);
        self.start_ready();
        rx.await.ok()
    }

    /// Takes in how many pieces the engine holds.
    pub fn on_pieces(self: &Arc<Self>, pieces: usize) {
        let mut state = lock(&self.state);
        state.most_pieces = state.most_pieces.max(pieces);
        drop(state);
        self.start_ready();
    }

    /// Takes in that the engine evicted a piece.
    pub fn on_eviction(&self) {
        lock(&self.state).is_full = true;
    }

    /// Turns are handed over without the lock: one that nobody waits for gives its room back.
    fn start_ready(self: &Arc<Self>) {
        let started: Vec<_> = {
            let mut state = lock(&self.state);
            std::iter::from_fn(|| state.start_next()).collect()
        };
        for (pieces, tx) in started {
            let _ = tx.send(PrefillTurn { gate: self.clone(), pieces });
        }
    }
}

impl State {
    fn push(&mut self, pieces: usize, priority: i32, tx: oneshot::Sender<PrefillTurn>) {
        self.waiting.insert((Reverse(priority), self.next), (pieces, tx));
        self.next += 1;
    }

    fn start_next(&mut self) -> Option<(usize, oneshot::Sender<PrefillTurn>)> {
        let next = self.waiting.first_entry()?;
        let pieces = next.get().0;
        let limit = self.most_pieces * LIMIT_PERCENT / 100;
        if self.is_full && self.used > 0 && self.used + pieces > limit {
            return None;
        }
        self.used += pieces;
        Some(next.remove())
    }
}

impl Drop for PrefillTurn {
    fn drop(&mut self) {
        lock(&self.gate.state).used -= self.pieces;
        self.gate.start_ready();
    }
}

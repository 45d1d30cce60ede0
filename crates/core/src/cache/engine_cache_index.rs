use crate::ids::{BootId, BoundedMap, PieceKey};
use serde::{Deserialize, Serialize};

/// Change to an engine's KV cache, as published by the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number assigned by the engine; restarts with the engine.
    pub seq: u64,
    /// Whether the piece was stored or removed.
    pub kind: CacheEventKind,
    /// Key of the piece concerned.
    pub key: PieceKey,
}

/// Change described by a [`CacheEvent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The piece was added to the engine's cache.
    Stored,
    /// The piece was evicted from the engine's cache.
    Removed,
}

#[derive(Clone, Copy, Debug)]
struct PieceStatus {
    is_held: bool,
    seq: u64,
}

/// Bounded, approximate index of the pieces in one engine's KV cache.
///
/// Events arrive late, out of order and with gaps, so the index is only a hint. Either error costs
/// time but not correctness: a piece wrongly listed as cached is recomputed, one wrongly listed as
/// missing is fetched again.
#[derive(Clone, Debug)]
pub struct EngineCacheIndex {
    boot: Option<BootId>,
    pieces: BoundedMap<PieceKey, PieceStatus>,
    last_seq: u64,
}

impl EngineCacheIndex {
    /// Creates an empty index that tracks at least `capacity` and at most twice as many pieces.
    pub fn new(capacity: usize) -> Self {
        Self { boot: None, pieces: BoundedMap::new(capacity), last_seq: 0 }
    }

    /// Clears the index if the engine has restarted since the last call.
    pub fn on_boot(&mut self, boot: BootId) {
        if self.boot.replace(boot).is_some_and(|old| old != boot) {
            self.clear();
        }
    }

    /// Drops all entries and resets the sequence number.
    pub fn clear(&mut self) {
        self.pieces.clear();
        self.last_seq = 0;
    }

    /// Applies events; of two events for the same piece the higher sequence number wins.
    pub fn on_events(&mut self, events: &[CacheEvent]) {
        for event in events {
            self.last_seq = self.last_seq.max(event.seq);
            let is_held = event.kind == CacheEventKind::Stored;
            let status = PieceStatus { is_held, seq: event.seq };
            let current = self.pieces.entry(&event.key, || status);
            if event.seq >= current.seq {
                *current = status;
            }
        }
    }

    /// Records that the engine does or does not hold the pieces, overriding all events up to now.
    ///
    /// Used when the state is known otherwise, such as from a completed prompt.
    pub fn set_held(&mut self, pieces: &[PieceKey], is_held: bool) {
        let status = PieceStatus { is_held, seq: self.last_seq };
        pieces.iter().for_each(|key| *self.pieces.entry(key, || status) = status);
    }

    /// Returns whether the piece is believed to be in the engine's cache.
    pub fn holds(&self, key: &PieceKey) -> bool {
        self.pieces.peek(key).is_some_and(|status| status.is_held)
    }

    /// Number of tracked pieces, including those recorded as not held.
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Returns whether no piece is tracked.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }
}

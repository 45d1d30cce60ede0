use crate::ids::{BootId, BoundedMap, PieceKey};
use serde::{Deserialize, Serialize};

/// One event of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's sequence of events.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Piece that it happened to.
    pub key: PieceKey,
}

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The engine now holds the piece.
    Stored,
    /// The engine no longer holds the piece.
    Removed,
}

#[derive(Clone, Copy, Debug)]
struct Sighting {
    is_held: bool,
    seq: u64,
}

/// Bounded guess of which pieces an engine holds.
///
/// Events come late, in any order and with gaps, so it is a hint and never a proof: a piece
/// wrongly taken as held is computed again, one wrongly taken as missing is fetched again.
#[derive(Clone, Debug)]
pub struct EnginePicture {
    boot: Option<BootId>,
    pieces: BoundedMap<PieceKey, Sighting>,
    last_seq: u64,
}

impl EnginePicture {
    /// Makes a picture that remembers at least `capacity` pieces.
    pub fn new(capacity: usize) -> Self {
        Self { boot: None, pieces: BoundedMap::new(capacity), last_seq: 0 }
    }

    /// Forgets everything if the engine started anew.
    pub fn on_boot(&mut self, boot: BootId) {
        if self.boot.replace(boot).is_some_and(|old| old != boot) {
            self.clear();
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.pieces.clear();
        self.last_seq = 0;
    }

    /// Takes in events; of two on one piece the one with the higher position wins.
    pub fn on_events(&mut self, events: &[CacheEvent]) {
        for event in events {
            self.last_seq = self.last_seq.max(event.seq);
            let is_held = event.kind == CacheEventKind::Stored;
            let sighting = Sighting { is_held, seq: event.seq };
            let known = self.pieces.entry(&event.key, || sighting);
            if event.seq >= known.seq {
                *known = sighting;
            }
        }
    }

    /// Takes in that the engine holds, or lacks, pieces, such as after a run.
    pub fn mark(&mut self, pieces: &[PieceKey], is_held: bool) {
        let sighting = Sighting { is_held, seq: self.last_seq };
        pieces.iter().for_each(|key| *self.pieces.entry(key, || sighting) = sighting);
    }

    /// Says whether the engine is taken to hold a piece.
    pub fn holds(&self, key: &PieceKey) -> bool {
        self.pieces.peek(key).is_some_and(|sighting| sighting.is_held)
    }

    /// Pieces remembered, held or not.
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Says whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }
}

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
            self.pieces.clear();
            self.last_seq = 0;
        }
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

    /// Takes in a run's usage: how many leading pieces the engine found when it started.
    ///
    /// All pieces of the prompt are taken as held after it. Returns how many of `imported`
    /// leading pieces the engine did not find.
    pub fn on_usage(&mut self, pieces: &[PieceKey], cached: usize, imported: usize) -> usize {
        self.mark(pieces, true);
        imported.saturating_sub(cached)
    }

    /// Takes in that the engine was found to hold, or to lack, pieces.
    pub fn mark(&mut self, pieces: &[PieceKey], is_held: bool) {
        let sighting = Sighting { is_held, seq: self.last_seq };
        pieces.iter().for_each(|key| *self.pieces.entry(key, || sighting) = sighting);
    }

    /// Says whether the engine is taken to hold a piece.
    pub fn holds(&self, key: &PieceKey) -> bool {
        self.pieces.peek(key).is_some_and(|sighting| sighting.is_held)
    }

    /// Position after which events are wanted.
    pub fn next_seq(&self) -> u64 {
        self.last_seq
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

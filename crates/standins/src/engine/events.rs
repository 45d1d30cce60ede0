use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Cache events that are kept for readers.
const KEPT_EVENTS: usize = 10_000;

/// What happened to a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// It is in the cache.
    Stored,
    /// It was evicted or dropped.
    Removed,
}

/// One cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's events of this boot.
    pub seq: u64,
    /// What happened.
    pub kind: EventKind,
    /// Key of the piece.
    pub key: String,
}

/// Answer of `GET /kv/events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPage {
    /// Boot that the positions belong to.
    pub boot: u64,
    /// Position to ask for next.
    pub next: u64,
    /// Events, some of which may be missing.
    pub events: Vec<CacheEvent>,
}

/// Cache events with the time at which they happened.
#[derive(Debug, Default)]
pub struct EventLog {
    next_seq: u64,
    events: VecDeque<(Instant, Option<CacheEvent>)>,
}

impl EventLog {
    /// Adds an event; a hidden one takes a position and is never published.
    pub fn push(&mut self, kind: EventKind, key: String, is_hidden: bool) {
        let event = CacheEvent { seq: self.next_seq, kind, key };
        self.next_seq += 1;
        self.events.push_back((Instant::now(), (!is_hidden).then_some(event)));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Lists the events from a position on that are older than `lag`.
    pub fn page(&self, boot: u64, since: u64, lag: Duration) -> EventPage {
        let first = self.next_seq - self.events.len() as u64;
        let visible = self.events.iter().take_while(|(at, _)| at.elapsed() >= lag);
        let skipped = since.saturating_sub(first) as usize;
        let next = first + visible.clone().count() as u64;
        let events = visible.skip(skipped).filter_map(|(_, event)| event.clone()).collect();
        EventPage { boot, next: next.max(since.min(self.next_seq)), events }
    }
}

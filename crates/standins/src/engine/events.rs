use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Maximum number of retained cache events.
const KEPT_EVENTS: usize = 10_000;

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// A piece was inserted or replaced.
    Stored,
    /// A piece was evicted, or the cache was cleared.
    Removed,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, from 0 at each boot.
    pub seq: u64,
    /// Whether the piece was stored or removed.
    pub kind: EventKind,
    /// Cache key of the piece.
    pub key: String,
}

/// Response of `GET /kv/events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPage {
    /// Boot number that the sequence numbers belong to.
    pub boot: u64,
    /// Sequence number to pass as `since` in the next request.
    pub next: u64,
    /// Events in order of `seq`, or shuffled by a fault; dropped events leave gaps.
    pub events: Vec<CacheEvent>,
}

/// Retained cache events with their timestamps.
#[derive(Debug, Default)]
pub struct EventLog {
    next_seq: u64,
    /// Time and event in order of sequence number; `None` stands for a hidden event.
    events: VecDeque<(Instant, Option<CacheEvent>)>,
}

impl EventLog {
    /// Appends an event. A hidden event uses up a sequence number but is never published.
    pub fn push(&mut self, kind: EventKind, key: String, is_hidden: bool) {
        let event = CacheEvent { seq: self.next_seq, kind, key };
        self.next_seq += 1;
        self.events.push_back((Instant::now(), (!is_hidden).then_some(event)));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from sequence number `since` on that are at least `lag` old.
    pub fn page(&self, boot: u64, since: u64, lag: Duration) -> EventPage {
        let first = self.next_seq - self.events.len() as u64;
        let visible = self.events.iter().take_while(|(at, _)| at.elapsed() >= lag);
        let skipped = since.saturating_sub(first) as usize;
        let next = first + visible.clone().count() as u64;
        let events = visible.skip(skipped).filter_map(|(_, event)| event.clone()).collect();
        EventPage { boot, next: next.max(since.min(self.next_seq)), events }
    }
}

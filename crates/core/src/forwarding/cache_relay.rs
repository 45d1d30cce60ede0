use super::StoredPart;
use crate::ids::{ServiceId, stable_hash};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, time::Duration};

/// Number of changes that a log keeps; a daemon that lags further behind gets the whole content.
const MAX_CHANGES: usize = 1_024;

/// Position in the change log of one daemon for one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayCursor {
    /// Identifier of the log.
    pub log: u64,
    /// Number of the next change.
    pub next: u64,
}

/// A part that was added to the known content of a store, or removed from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartChange {
    /// Whether the part was added rather than removed.
    pub is_added: bool,
    /// The part.
    pub part: StoredPart,
}

/// Content of a store, or the changes to it, as one daemon tells it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedStore {
    /// The store.
    pub store: ServiceId,
    /// Process start of the store.
    pub boot: u64,
    /// Sequence number of the store's last known change.
    pub last: u64,
    /// Time since the store's last answer.
    pub age: Duration,
    /// Time on the endpoints' clock, in Unix milliseconds.
    pub clock_ms: Option<f64>,
    /// Whether the changes add up to the whole content.
    pub is_whole: bool,
    /// Changes in order.
    pub changes: Vec<PartChange>,
    /// Position after the changes.
    pub cursor: RelayCursor,
}

/// Recent changes to the known content of a store, for the daemons that learn it from this one.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    id: u64,
    next: u64,
    changes: VecDeque<PartChange>,
}

impl ChangeLog {
    /// Creates an empty log. `seed` makes its identifier differ from those of all other logs.
    pub fn new(seed: u64) -> Self {
        Self { id: seed, next: 0, changes: VecDeque::new() }
    }

    /// Starts over with another identifier, so that every reader gets the whole content.
    pub fn restart(&mut self) {
        *self = Self::new(stable_hash(&self.id.to_le_bytes()));
    }

    /// Appends a change.
    pub fn push(&mut self, change: PartChange) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.next += 1;
    }

    /// Position after the last change.
    pub fn cursor(&self) -> RelayCursor {
        RelayCursor { log: self.id, next: self.next }
    }

    /// Changes from a position on; `None` if the log does not reach back to it.
    pub fn since(&self, cursor: RelayCursor) -> Option<Vec<PartChange>> {
        let behind = usize::try_from(self.next.checked_sub(cursor.next)?).ok()?;
        let skipped = self.changes.len().checked_sub(behind)?;
        (cursor.log == self.id).then(|| self.changes.iter().skip(skipped).cloned().collect())
    }
}

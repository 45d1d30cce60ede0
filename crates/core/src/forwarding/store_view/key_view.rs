use super::StorePosition;
use crate::ids::FastMap;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of remembered removals; a view that lags further behind receives a full snapshot.
const MAX_REMOVALS: usize = 4_096;

/// Value of a key with its position in the store's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewItem {
    /// Raw value as stored.
    pub value: Bytes,
    /// Position of the last write.
    pub written_at: StorePosition,
}

/// Incremental changes to the store's keys, or a full snapshot of them. All positions are of one
/// era.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedKeys {
    /// Position after which the changes are complete; of no matter for a snapshot.
    pub after: StorePosition,
    /// Position up to which the changes are complete.
    pub as_of: StorePosition,
    /// Whether this is a full snapshot, so that keys not listed no longer exist.
    pub is_whole: bool,
    /// Keys that were written.
    pub items: Vec<(String, ViewItem)>,
    /// Removed keys, each with the position of its removal.
    pub removed: Vec<(String, StorePosition)>,
}

/// What changes made of a view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedChanges {
    /// Keys that differ afterwards.
    pub keys: Vec<String>,
    /// Whether these are of the first snapshot of a later era: the store came back from a copy,
    /// which may be older than what was known.
    pub is_new_era: bool,
}

/// One daemon's replica of the store's keys, fed by the store or by other daemons.
///
/// The replica never moves backwards: a change older than the known position of its key is ignored,
/// so changes may arrive from any source and in any order. A later era replaces all that was known of
/// earlier ones; it begins with a full snapshot.
#[derive(Clone, Debug, Default)]
pub struct KeyView {
    as_of: StorePosition,
    items: FastMap<String, ViewItem>,
    removals: VecDeque<(String, StorePosition)>,
    /// Position up to which the remembered removals are incomplete.
    removals_trimmed_to: StorePosition,
}

impl KeyView {
    /// Position up to which the view is complete; zero before anything is known.
    pub fn as_of(&self) -> StorePosition {
        self.as_of
    }

    /// Value of a key; `None` if the key does not exist.
    pub fn get(&self, key: &str) -> Option<&ViewItem> {
        self.items.get(key)
    }

    /// Iterates over the keys that start with `prefix`, in no particular order.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a ViewItem)> {
        let all = self.items.iter().map(|(key, item)| (key.as_str(), item));
        all.filter(move |(key, _)| key.starts_with(prefix))
    }

    /// Whether changes can be applied: a snapshot that is not of an earlier era, or what follows on
    /// the view in its own era.
    pub fn accepts(&self, changes: &ChangedKeys) -> bool {
        let era = changes.as_of.era;
        let is_next = changes.after.era == era && changes.after <= self.as_of;
        match changes.is_whole {
            true => era >= self.as_of.era,
            false => era == self.as_of.era && is_next,
        }
    }

    /// Applies changes, unless the view does not accept them.
    ///
    /// The view is complete up to its position, so a change up to that position is never new: a key
    /// that is absent from the view was removed.
    pub fn apply(&mut self, changes: ChangedKeys) -> AppliedChanges {
        if !self.accepts(&changes) {
            return AppliedChanges::default();
        }
        let is_new_era =
            changes.as_of.era > self.as_of.era && self.as_of != StorePosition::default();
        let complete = self.as_of;
        let mut keys = Vec::new();
        let mut removed = self.missing_from(&changes);
        for (key, item) in changes.items {
            let known = self.items.get(&key).map_or(complete, |known| known.written_at);
            if item.written_at > known {
                keys.push(key.clone());
                self.items.insert(key, item);
            }
        }
        removed.extend(changes.removed);
        for (key, at) in removed {
            if self.remove(&key, at) {
                keys.push(key);
            }
        }
        if changes.is_whole && changes.as_of > complete {
            // Keys may have been created and removed in between without this view learning of them.
            self.removals_trimmed_to = changes.as_of;
        }
        self.as_of = complete.max(changes.as_of);
        AppliedChanges { keys, is_new_era }
    }

    /// Changes that a view complete up to `position` is missing.
    pub fn changes_after(&self, position: StorePosition) -> ChangedKeys {
        let is_whole = position < self.removals_trimmed_to
            || position.era < self.as_of.era
            || position == StorePosition::default();
        let items = self.items.iter().filter(|(_, item)| is_whole || item.written_at > position);
        let removed = self.removals.iter().filter(|(_, at)| !is_whole && *at > position);
        ChangedKeys {
            after: position,
            as_of: self.as_of,
            is_whole,
            items: items.map(|(key, item)| (key.clone(), item.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Known keys that are absent from a full snapshot.
    fn missing_from(&self, changes: &ChangedKeys) -> Vec<(String, StorePosition)> {
        if !changes.is_whole {
            return Vec::new();
        }
        let listed: FastMap<&str, ()> =
            changes.items.iter().map(|(key, _)| (key.as_str(), ())).collect();
        let known = self.items.iter().filter(|(_, item)| item.written_at <= changes.as_of);
        let missing = known.filter(|(key, _)| !listed.contains_key(key.as_str()));
        missing.map(|(key, _)| (key.clone(), changes.as_of)).collect()
    }

    fn remove(&mut self, key: &str, at: StorePosition) -> bool {
        if self.items.get(key).is_none_or(|item| item.written_at > at) {
            return false;
        }
        self.items.remove(key);
        self.removals.push_back((key.to_owned(), at));
        if self.removals.len() > MAX_REMOVALS
            && let Some((_, at)) = self.removals.pop_front()
        {
            self.removals_trimmed_to = self.removals_trimmed_to.max(at);
        }
        true
    }
}

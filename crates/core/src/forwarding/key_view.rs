use crate::ids::FastMap;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of remembered removals; a view that lags further behind receives a full snapshot.
const MAX_REMOVALS: usize = 4_096;

/// Value of a key with its revisions in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewItem {
    /// Raw value as stored.
    pub value: Bytes,
    /// Revision of the last write.
    pub revision: u64,
    /// Revision at which the key was created.
    pub created: u64,
}

/// Incremental changes to the store's keys, or a full snapshot of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedKeys {
    /// Store revision up to which the changes are complete.
    pub as_of: u64,
    /// Whether this is a full snapshot, so that keys not listed no longer exist.
    pub is_whole: bool,
    /// Keys that were written.
    pub items: Vec<(String, ViewItem)>,
    /// Removed keys, each with the revision of its removal.
    pub removed: Vec<(String, u64)>,
}

/// One daemon's replica of the store's keys, fed by the store or by other daemons.
///
/// The replica never moves backwards: a change older than the known revision of its key is ignored,
/// so changes may arrive from any source and in any order.
#[derive(Clone, Debug, Default)]
pub struct KeyView {
    as_of: u64,
    items: FastMap<String, ViewItem>,
    removals: VecDeque<(String, u64)>,
    /// Revision up to which the remembered removals are incomplete.
    removals_trimmed_to: u64,
}

impl KeyView {
    /// Store revision up to which the view is complete; 0 before anything is known.
    pub fn as_of(&self) -> u64 {
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

    /// Applies changes and returns the keys that differ afterwards.
    ///
    /// The view is complete up to its revision, so a change up to that revision is never new: a key
    /// that is absent from the view was removed.
    pub fn apply(&mut self, changes: ChangedKeys) -> Vec<String> {
        let complete = self.as_of;
        let mut changed = Vec::new();
        let mut removed = self.missing_from(&changes);
        for (key, item) in changes.items {
            let known = self.items.get(&key).map_or(complete, |known| known.revision);
            if item.revision > known {
                changed.push(key.clone());
                self.items.insert(key, item);
            }
        }
        removed.extend(changes.removed);
        for (key, revision) in removed {
            if self.remove(&key, revision) {
                changed.push(key);
            }
        }
        if changes.is_whole && changes.as_of > complete {
            // Keys may have been created and removed in between without this view learning of them.
            self.removals_trimmed_to = changes.as_of;
        }
        self.as_of = complete.max(changes.as_of);
        changed
    }

    /// Changes that a view complete up to `revision` is missing.
    pub fn changes_after(&self, revision: u64) -> ChangedKeys {
        let is_whole = revision < self.removals_trimmed_to || revision == 0;
        let items = self.items.iter().filter(|(_, item)| is_whole || item.revision > revision);
        let removed = self.removals.iter().filter(|(_, at)| !is_whole && *at > revision);
        ChangedKeys {
            as_of: self.as_of,
            is_whole,
            items: items.map(|(key, item)| (key.clone(), item.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Known keys that are absent from a full snapshot.
    fn missing_from(&self, changes: &ChangedKeys) -> Vec<(String, u64)> {
        if !changes.is_whole {
            return Vec::new();
        }
        let listed: FastMap<&str, ()> =
            changes.items.iter().map(|(key, _)| (key.as_str(), ())).collect();
        let known = self.items.iter().filter(|(_, item)| item.revision <= changes.as_of);
        let missing = known.filter(|(key, _)| !listed.contains_key(key.as_str()));
        missing.map(|(key, _)| (key.clone(), changes.as_of)).collect()
    }

    fn remove(&mut self, key: &str, revision: u64) -> bool {
        if self.items.get(key).is_none_or(|item| item.revision > revision) {
            return false;
        }
        self.items.remove(key);
        self.removals.push_back((key.to_owned(), revision));
        if self.removals.len() > MAX_REMOVALS
            && let Some((_, revision)) = self.removals.pop_front()
        {
            self.removals_trimmed_to = self.removals_trimmed_to.max(revision);
        }
        true
    }
}

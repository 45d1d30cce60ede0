use crate::ids::FastMap;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Removals that are remembered; older ones are told to others as a whole view.
const MAX_REMEMBERED_REMOVALS: usize = 4_096;

/// Value of a key with the store's revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewItem {
    /// Value.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision at which the key was made.
    pub created: u64,
}

/// What changed in the store's keys, or all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedKeys {
    /// Store revision up to which this is complete.
    pub as_of: u64,
    /// Whether keys that are not named here are gone.
    pub is_whole: bool,
    /// Keys that were written.
    pub items: Vec<(String, ViewItem)>,
    /// Keys that were removed, with the revision of the removal.
    pub removed: Vec<(String, u64)>,
}

/// One daemon's view of the store's keys, filled from the store or from another daemon.
///
/// It never goes back: a change older than what is known of its key is ignored, so that it does
/// not matter from where and in which order changes arrive.
#[derive(Clone, Debug, Default)]
pub struct KeyView {
    as_of: u64,
    items: FastMap<String, ViewItem>,
    removals: VecDeque<(String, u64)>,
    /// Revision up to which removals are not all remembered.
    forgotten: u64,
}

impl KeyView {
    /// Store revision up to which the view is complete; 0 before anything is known.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Finds a key.
    pub fn get(&self, key: &str) -> Option<&ViewItem> {
        self.items.get(key)
    }

    /// Keys with a prefix.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a ViewItem)> {
        let all = self.items.iter().map(|(key, item)| (key.as_str(), item));
        all.filter(move |(key, _)| key.starts_with(prefix))
    }

    /// Takes changes and gives the keys that are different now.
    ///
    /// The view is complete up to its position, so that nothing up to there is new: a key that is
    /// not in it was removed.
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
            // Keys may have come and gone in between that this view never heard of.
            self.forgotten = changes.as_of;
        }
        self.as_of = complete.max(changes.as_of);
        changed
    }

    /// What another view lacks that is complete up to `revision`.
    pub fn changes_after(&self, revision: u64) -> ChangedKeys {
        let is_whole = revision < self.forgotten || revision == 0;
        let items = self.items.iter().filter(|(_, item)| is_whole || item.revision > revision);
        let removed = self.removals.iter().filter(|(_, at)| !is_whole && *at > revision);
        ChangedKeys {
            as_of: self.as_of,
            is_whole,
            items: items.map(|(key, item)| (key.clone(), item.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Keys that a whole view no longer has.
    fn missing_from(&self, changes: &ChangedKeys) -> Vec<(String, u64)> {
        if !changes.is_whole {
            return Vec::new();
        }
        let named: FastMap<&str, ()> =
            changes.items.iter().map(|(key, _)| (key.as_str(), ())).collect();
        let known = self.items.iter().filter(|(_, item)| item.revision <= changes.as_of);
        let missing = known.filter(|(key, _)| !named.contains_key(key.as_str()));
        missing.map(|(key, _)| (key.clone(), changes.as_of)).collect()
    }

    fn remove(&mut self, key: &str, revision: u64) -> bool {
        if self.items.get(key).is_none_or(|item| item.revision > revision) {
            return false;
        }
        self.items.remove(key);
        self.removals.push_back((key.to_owned(), revision));
        if self.removals.len() > MAX_REMEMBERED_REMOVALS
            && let Some((_, revision)) = self.removals.pop_front()
        {
            self.forgotten = self.forgotten.max(revision);
        }
        true
    }
}

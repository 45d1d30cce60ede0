use super::{block::Scope, words::Chain};
use foldhash::HashMap;
use std::collections::BTreeMap;

/// Content of a cached piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// Valid content, identified by the hex hash of the tokens it was computed from.
    Computed(String),
    /// Imported bytes that failed verification, or content computed from such bytes.
    Damaged,
}

/// Key of a cache entry. Damaged pieces have no scope and match lookups from any scope.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Slot {
    key: String,
    scope: Option<Scope>,
}

#[derive(Debug)]
struct Entry {
    content: Content,
    used: u64,
}

/// Prefix cache with a fixed capacity in pieces and LRU eviction.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    clock: u64,
    entries: HashMap<Slot, Entry>,
    by_use: BTreeMap<u64, Slot>,
}

/// Result of a prefix lookup.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reuse {
    /// Number of leading pieces of the prompt that are cached.
    pub pieces: usize,
    /// Whether one of them is damaged or was computed from other tokens than the prompt's.
    pub is_wrong: bool,
}

impl PrefixCache {
    /// Creates an empty cache for at most `limit` pieces.
    pub fn new(limit: usize) -> Self {
        Self { limit, clock: 0, entries: HashMap::default(), by_use: BTreeMap::new() }
    }

    /// Number of cached pieces.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Finds the longest cached prefix and marks its pieces as used. The first piece becomes the
    /// most recently used
    /// one, so that a prefix is evicted from its end.
    pub fn reuse(&mut self, scope: &Scope, keys: &[String], pieces: &[Chain]) -> Reuse {
        let found: Vec<(Slot, bool)> = keys
            .iter()
            .zip(pieces)
            .map_while(|(key, piece)| self.find(scope, key, piece))
            .collect();
        let is_wrong = found.iter().any(|(_, is_wrong)| *is_wrong);
        let reuse = Reuse { pieces: found.len(), is_wrong };
        found.into_iter().rev().for_each(|(slot, _)| self.touch(slot));
        reuse
    }

    /// Inserts or replaces a piece and returns the keys of the pieces evicted to make room.
    pub fn insert(&mut self, scope: &Scope, key: &str, content: Content) -> Vec<String> {
        let scope = (content != Content::Damaged).then(|| scope.clone());
        let slot = Slot { key: key.into(), scope };
        self.clock += 1;
        let entry = Entry { content, used: self.clock };
        if let Some(old) = self.entries.insert(slot.clone(), entry) {
            self.by_use.remove(&old.used);
        }
        self.by_use.insert(self.clock, slot);
        self.evict()
    }

    /// Looks up an undamaged piece by key in any scope; returns its scope and content hash.
    pub fn get(&self, key: &str) -> Option<(&Scope, &str)> {
        self.entries.iter().find_map(|(slot, entry)| match (&slot.scope, &entry.content) {
            (Some(scope), Content::Computed(hash)) if slot.key == key => Some((scope, &hash[..])),
            _ => None,
        })
    }

    /// Removes all pieces and returns their keys.
    pub fn clear(&mut self) -> Vec<String> {
        self.by_use.clear();
        self.entries.drain().map(|(slot, _)| slot.key).collect()
    }

    fn find(&self, scope: &Scope, key: &str, piece: &Chain) -> Option<(Slot, bool)> {
        let own = Slot { key: key.into(), scope: Some(scope.clone()) };
        if let Some(entry) = self.entries.get(&own) {
            let is_wrong = entry.content != Content::Computed(piece.to_hex());
            return Some((own, is_wrong));
        }
        let damaged = Slot { key: key.into(), scope: None };
        self.entries.contains_key(&damaged).then_some((damaged, true))
    }

    fn touch(&mut self, slot: Slot) {
        self.clock += 1;
        if let Some(entry) = self.entries.get_mut(&slot) {
            self.by_use.remove(&entry.used);
            entry.used = self.clock;
            self.by_use.insert(self.clock, slot);
        }
    }

    fn evict(&mut self) -> Vec<String> {
        let mut evicted = Vec::new();
        while self.entries.len() > self.limit
            && let Some((_, slot)) = self.by_use.pop_first()
        {
            self.entries.remove(&slot);
            evicted.push(slot.key);
        }
        evicted
    }
}

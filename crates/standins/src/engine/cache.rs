use super::{block::Scope, hash_chain::HashChain};
use foldhash::HashMap;
use std::collections::BTreeMap;

/// Content of a cached piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// Valid content, identified by the hex hash of the tokens it was computed from.
    Computed(String),
    /// Imported bytes that failed verification or belong to another key, or content computed from
    /// an invalid prefix (see [`PrefixMatch::is_invalid`]).
    Damaged,
}

/// Key of a cache entry. Damaged pieces have no scope and match lookups from any scope.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EntryKey {
    key: String,
    scope: Option<Scope>,
}

#[derive(Debug)]
struct Entry {
    content: Content,
    last_used: u64,
}

/// Prefix cache of complete prompt pieces, with a fixed capacity in pieces and LRU eviction.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    /// Logical clock, advanced at each insertion and reuse; source of `Entry::last_used`.
    clock: u64,
    entries: HashMap<EntryKey, Entry>,
    by_last_use: BTreeMap<u64, EntryKey>,
}

/// Result of a prefix lookup.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixMatch {
    /// Number of leading pieces of the prompt that are cached.
    pub pieces: usize,
    /// Whether one of them is damaged or was computed from other tokens or weights than the run's.
    pub is_invalid: bool,
}

impl PrefixCache {
    /// Creates an empty cache for at most `capacity` pieces.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, clock: 0, entries: HashMap::default(), by_last_use: BTreeMap::new() }
    }

    /// Number of cached pieces.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Finds the longest cached prefix and marks its pieces as used. The first piece becomes the
    /// most recently used one, so that a reused prefix is evicted from its end.
    pub fn match_prefix(
        &mut self,
        scope: &Scope,
        keys: &[String],
        pieces: &[HashChain],
    ) -> PrefixMatch {
        let found: Vec<(EntryKey, bool)> = keys
            .iter()
            .zip(pieces)
            .map_while(|(key, piece)| self.find(scope, key, piece))
            .collect();
        let is_invalid = found.iter().any(|(_, is_invalid)| *is_invalid);
        let prefix_match = PrefixMatch { pieces: found.len(), is_invalid };
        found.into_iter().rev().for_each(|(entry_key, _)| self.touch(entry_key));
        prefix_match
    }

    /// Inserts or replaces a piece and returns the keys of the pieces evicted to make room.
    pub fn insert(&mut self, scope: &Scope, key: &str, content: Content) -> Vec<String> {
        let scope = (content != Content::Damaged).then(|| scope.clone());
        let entry_key = EntryKey { key: key.into(), scope };
        self.clock += 1;
        let entry = Entry { content, last_used: self.clock };
        if let Some(old) = self.entries.insert(entry_key.clone(), entry) {
            self.by_last_use.remove(&old.last_used);
        }
        self.by_last_use.insert(self.clock, entry_key);
        self.evict()
    }

    /// Looks up an undamaged piece by key in any scope; returns its scope and content hash.
    pub fn get(&self, key: &str) -> Option<(&Scope, &str)> {
        self.entries.iter().find_map(|(id, entry)| match (&id.scope, &entry.content) {
            (Some(scope), Content::Computed(hash)) if id.key == key => Some((scope, &hash[..])),
            _ => None,
        })
    }

    /// Removes all pieces and returns their keys.
    pub fn clear(&mut self) -> Vec<String> {
        self.by_last_use.clear();
        self.entries.drain().map(|(entry_key, _)| entry_key.key).collect()
    }

    /// Looks up a piece in its scope, then among the damaged ones. The flag is set if the piece is
    /// invalid for the run.
    fn find(&self, scope: &Scope, key: &str, piece: &HashChain) -> Option<(EntryKey, bool)> {
        let own = EntryKey { key: key.into(), scope: Some(scope.clone()) };
        if let Some(entry) = self.entries.get(&own) {
            let is_invalid = entry.content != Content::Computed(piece.to_hex());
            return Some((own, is_invalid));
        }
        let damaged = EntryKey { key: key.into(), scope: None };
        self.entries.contains_key(&damaged).then_some((damaged, true))
    }

    fn touch(&mut self, entry_key: EntryKey) {
        self.clock += 1;
        if let Some(entry) = self.entries.get_mut(&entry_key) {
            self.by_last_use.remove(&entry.last_used);
            entry.last_used = self.clock;
            self.by_last_use.insert(self.clock, entry_key);
        }
    }

    fn evict(&mut self) -> Vec<String> {
        let mut evicted = Vec::new();
        while self.entries.len() > self.capacity
            && let Some((_, entry_key)) = self.by_last_use.pop_first()
        {
            self.entries.remove(&entry_key);
            evicted.push(entry_key.key);
        }
        evicted
    }
}

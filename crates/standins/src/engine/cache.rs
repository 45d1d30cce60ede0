use super::{block::Scope, words::Chain};
use foldhash::HashMap;
use std::collections::BTreeMap;

/// What a cached piece holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// The computation over the tokens that the hash names.
    Computed(String),
    /// Damaged or wrong bytes that were imported.
    Damaged,
}

/// Where a piece is filed; damaged pieces are found from any scope.
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

/// Pieces of prompts in limited memory, the least recently used evicted first.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    clock: u64,
    entries: HashMap<Slot, Entry>,
    by_use: BTreeMap<u64, Slot>,
}

/// Reuse of a prompt's first pieces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reuse {
    /// Pieces reused.
    pub pieces: usize,
    /// Whether one of them is damaged or was computed from other tokens.
    pub is_wrong: bool,
}

impl PrefixCache {
    /// Starts empty with room for `limit` pieces.
    pub fn new(limit: usize) -> Self {
        Self { limit, clock: 0, entries: HashMap::default(), by_use: BTreeMap::new() }
    }

    /// Pieces held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Finds the longest cached prefix and marks it used, its first piece as the most recent.
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

    /// Files a computed piece and gives the keys of those evicted for it.
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

    /// Looks up an undamaged piece by its key alone.
    pub fn get(&self, key: &str) -> Option<(&Scope, &str)> {
        self.entries.iter().find_map(|(slot, entry)| match (&slot.scope, &entry.content) {
            (Some(scope), Content::Computed(hash)) if slot.key == key => Some((scope, &hash[..])),
            _ => None,
        })
    }

    /// Forgets everything and gives the keys that were held.
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

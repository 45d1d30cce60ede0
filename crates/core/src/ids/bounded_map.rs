use super::FastMap;
use std::{borrow::Borrow, hash::Hash, mem};

/// Map of bounded size with approximate least-recently-used eviction.
///
/// Entries are kept in two generations of up to `capacity` entries each. An access moves an entry
/// to the young generation. When that is full, it replaces the old generation, whose entries are
/// dropped.
#[derive(Clone, Debug)]
pub struct BoundedMap<K, V> {
    young: FastMap<K, V>,
    old: FastMap<K, V>,
    capacity: usize,
}

impl<K: Eq + Hash + Clone, V> BoundedMap<K, V> {
    /// Creates a map that keeps at least the `capacity` most recently used entries and at most
    /// twice as many; a `capacity` of 0 counts as 1.
    pub fn new(capacity: usize) -> Self {
        Self { young: FastMap::default(), old: FastMap::default(), capacity: capacity.max(1) }
    }

    /// Returns an entry without marking it as recently used.
    pub fn peek<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    /// Returns the entry of a key, inserting `make()` if there is none, and marks it as recently
    /// used.
    pub fn entry(&mut self, key: &K, make: impl FnOnce() -> V) -> &mut V {
        if !self.young.contains_key(key) {
            if self.young.len() >= self.capacity {
                self.old = mem::take(&mut self.young);
            }
            let value = self.old.remove(key).unwrap_or_else(make);
            self.young.insert(key.clone(), value);
        }
        self.young.get_mut(key).expect("the entry was inserted above")
    }

    /// Number of entries in both generations.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }
}

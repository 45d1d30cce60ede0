use super::FastMap;
use std::{borrow::Borrow, hash::Hash, mem};

/// Map of bounded size that forgets entries not used for long.
///
/// Entries live in two generations of `capacity` entries each. A used entry moves to the young
/// one; when that is full it becomes the old one and what was old is forgotten.
#[derive(Clone, Debug)]
pub struct BoundedMap<K, V> {
    young: FastMap<K, V>,
    old: FastMap<K, V>,
    capacity: usize,
}

impl<K: Eq + Hash + Clone, V> BoundedMap<K, V> {
    /// Makes a map that keeps at least the last `capacity` used entries and at most twice as many.
    pub fn new(capacity: usize) -> Self {
        Self { young: FastMap::default(), old: FastMap::default(), capacity: capacity.max(1) }
    }

    /// Reads an entry without marking it as used.
    pub fn peek<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    /// Finds an entry or makes one, and marks it as used.
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

    /// Entries held.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Says whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }
}

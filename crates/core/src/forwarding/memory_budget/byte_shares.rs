use crate::ids::FastMap;
use std::hash::Hash;

/// Bytes that are held for each of several users; users without any are forgotten.
#[derive(Clone, Debug)]
pub struct ByteShares<K> {
    used: FastMap<K, usize>,
}

impl<K> Default for ByteShares<K> {
    fn default() -> Self {
        Self { used: FastMap::default() }
    }
}

impl<K: Eq + Hash + Clone> ByteShares<K> {
    /// Bytes held for a user.
    pub fn used(&self, user: &K) -> usize {
        self.used.get(user).copied().unwrap_or(0)
    }

    /// Number of users for which bytes are held.
    pub fn users(&self) -> usize {
        self.used.len()
    }

    /// Adds bytes of a user.
    pub fn add(&mut self, user: &K, bytes: usize) {
        if bytes > 0 {
            *self.used.entry(user.clone()).or_default() += bytes;
        }
    }

    /// Removes bytes of a user.
    pub fn remove(&mut self, user: &K, bytes: usize) {
        let Some(used) = self.used.get_mut(user) else { return };
        *used = used.saturating_sub(bytes);
        if *used == 0 {
            self.used.remove(user);
        }
    }
}

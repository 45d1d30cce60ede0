use std::collections::{HashMap, HashSet};

/// Hash map with a fast, per-process seeded hasher.
pub type FastMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with a fast, per-process seeded hasher.
pub type FastSet<K> = HashSet<K, foldhash::fast::RandomState>;

use std::collections::{HashMap, HashSet};

/// Hash map with a fast, randomly seeded hasher; iteration order is not reproducible.
pub type FastMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with a fast, randomly seeded hasher; iteration order is not reproducible.
pub type FastSet<K> = HashSet<K, foldhash::fast::RandomState>;

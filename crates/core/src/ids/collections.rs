use std::collections::{HashMap, HashSet};

/// Hash map with a fast hasher, seeded per process; iteration order differs between processes.
pub type FastMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with a fast hasher, seeded per process; iteration order differs between processes.
pub type FastSet<K> = HashSet<K, foldhash::fast::RandomState>;

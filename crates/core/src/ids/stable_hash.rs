use foldhash::fast::FixedState;
use std::hash::{BuildHasher, Hasher};

/// Seed that every daemon uses, so that all choose alike.
const SEED: u64 = 0;

/// Hash that is the same in every process of one build, unlike that of a map.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hasher = FixedState::with_seed(SEED).build_hasher();
    hasher.write(bytes);
    hasher.finish()
}

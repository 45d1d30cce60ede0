use foldhash::fast::FixedState;
use std::hash::{BuildHasher, Hasher};

/// Seed shared by all daemons, so that they make the same choices.
const SEED: u64 = 0;

/// Returns a hash that is equal in all processes of the same build, unlike the hasher of
/// [`FastMap`](super::FastMap). Other builds may give another value.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hasher = FixedState::with_seed(SEED).build_hasher();
    hasher.write(bytes);
    hasher.finish()
}

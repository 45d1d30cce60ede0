use super::{endpoint_table::ModelEndpoints, prefix_index::CachedPrefix};
use crate::ids::{BootId, PromptRoot};
use rand::{Rng, RngExt};

/// An endpoint considered for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub slot: u32,
    /// Position among the usable endpoints in the prompt's ring order; `None` for others.
    pub rank: Option<u8>,
    /// Boot of the endpoint (lower half) that cached leading pieces of the prompt, and their count.
    pub held: Option<(u32, u32)>,
}

impl Candidate {
    pub fn ranked(slot: u32, rank: u8) -> Self {
        Self { slot, rank: Some(rank), held: None }
    }

    pub fn holder(held: CachedPrefix) -> Self {
        Self { slot: held.slot, rank: None, held: Some((held.boot, held.pieces)) }
    }

    /// Whether the endpoint is known to have cached pieces and is still in the same boot.
    pub fn holds_since(&self, boot: BootId) -> bool {
        self.held.is_some_and(|(held_by, _)| held_by == boot as u32)
    }

    pub fn random(model: &ModelEndpoints, rng: &mut impl Rng) -> Self {
        let slot = model.slots[rng.random_range(0..model.slots.len())];
        Self { slot, rank: None, held: None }
    }
}

/// Adds a candidate, or its cache state to the entry of the same endpoint if there is one.
pub(super) fn merge(candidates: &mut Vec<Candidate>, other: Candidate) {
    match candidates.iter_mut().find(|known| known.slot == other.slot) {
        Some(known) => known.held = known.held.or(other.held),
        None => candidates.push(other),
    }
}

/// Hash ring key of a prompt: the first 8 bytes of its root key.
pub(super) fn ring_key(root: &PromptRoot) -> u64 {
    root.0[..8].iter().fold(0, |key, byte| key << 8 | u64::from(*byte))
}

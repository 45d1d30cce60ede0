use super::{endpoint_table::ModelEndpoints, remembered_prompts::Held};
use crate::ids::{BootId, PromptRoot};
use rand::{Rng, RngExt};

/// An endpoint that a request may go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub slot: u32,
    /// Position among the usable endpoints of the prompt's order.
    pub rank: Option<u8>,
    /// Leading pieces that this entry knows the endpoint to hold, and the boot that held them.
    pub held: Option<(u32, u32)>,
}

impl Candidate {
    pub fn ranked(slot: u32, rank: u8) -> Self {
        Self { slot, rank: Some(rank), held: None }
    }

    pub fn holder(held: Held) -> Self {
        Self { slot: held.slot, rank: None, held: Some((held.boot, held.pieces)) }
    }

    /// Whether the endpoint is known to hold pieces and has not restarted since.
    pub fn holds_since(&self, boot: BootId) -> bool {
        self.held.is_some_and(|(held_by, _)| held_by == boot as u32)
    }

    pub fn random(model: &ModelEndpoints, rng: &mut impl Rng) -> Self {
        let slot = model.slots[rng.random_range(0..model.slots.len())];
        Self { slot, rank: None, held: None }
    }
}

/// Adds a candidate, or what it holds to the same endpoint already listed.
pub(super) fn merge(candidates: &mut Vec<Candidate>, other: Candidate) {
    match candidates.iter_mut().find(|known| known.slot == other.slot) {
        Some(known) => known.held = known.held.or(other.held),
        None => candidates.push(other),
    }
}

/// Number that places a prompt in its order of endpoints.
pub(super) fn root_key(root: &PromptRoot) -> u64 {
    root.0[..8].iter().fold(0, |key, byte| key << 8 | u64::from(*byte))
}

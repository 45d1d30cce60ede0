use crate::{
    ids::{PromptRoot, RegionId, StoreId, ZoneId},
    settings::{StoreEntry, Tree},
};

/// Stores that are asked for a prompt's cache.
pub const LOOKUP_STORES: usize = 2;

/// Lists the stores of a zone's region for a prompt, first the one to write to.
///
/// The order is by rendezvous on the prompt's root over all stores of the region whose zone is
/// in, so every daemon of the region finds the same one, in whichever zone the prompt arrives,
/// and a store that comes or goes moves only its own share of the prompts.
pub fn store_order<'a>(
    tree: &'a Tree,
    zone: &str,
    root: PromptRoot,
) -> Vec<(&'a StoreId, &'a StoreEntry)> {
    let region = region_of(tree, zone);
    let mut stores: Vec<_> = tree
        .stores
        .iter()
        .filter(|(_, entry)| tree.zone_is_in(&entry.zone))
        .filter(|(_, entry)| region_of(tree, &entry.zone) == region)
        .collect();
    stores.sort_by_cached_key(|(store, _)| std::cmp::Reverse(weight(root, store)));
    stores
}

fn region_of<'a>(tree: &'a Tree, zone: &str) -> Option<&'a RegionId> {
    tree.zones.get(&ZoneId::from(zone)).map(|entry| &entry.region)
}

fn weight(root: PromptRoot, store: &StoreId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&root.0).update(store.as_bytes());
    let mut weight = [0; 8];
    hasher.finalize_xof().fill(&mut weight);
    u64::from_le_bytes(weight)
}

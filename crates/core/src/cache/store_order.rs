use crate::{
    ids::{PromptRoot, RegionId, StoreId, ZoneId},
    settings::{StoreEntry, Tree},
};

/// Number of stores, in the order of [`store_order`], that are queried for a prompt's cache.
pub const LOOKUP_STORES: usize = 2;

/// Ranks the stores in the region of `zone` for a prompt; blocks are written to the first.
///
/// The ranking is rendezvous hashing on the prompt root over all stores of the region whose zone is
/// in service. All daemons of a region therefore agree on the store, whichever zone receives the
/// prompt, and adding or removing a store only remaps that store's share of the prompts.
pub fn store_order<'a>(
    tree: &'a Tree,
    zone: &str,
    root: PromptRoot,
) -> Vec<(&'a StoreId, &'a StoreEntry)> {
    let region = region_of(tree, zone);
    let mut stores: Vec<_> = tree
        .stores
        .iter()
        .filter(|(_, entry)| tree.is_zone_in_service(&entry.zone))
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

use super::EndpointPool;
use cassiagw_core::{
    ids::{EndpointId, FastSet},
    membership::View,
    settings::EndpointEntry,
};

/// Picks the endpoint of a model with the least reported load, the nearest zone first on ties.
pub fn pick_endpoint(
    view: &View,
    pool: &EndpointPool,
    model: &str,
    near: &str,
    excluded: &FastSet<EndpointId>,
) -> Option<(EndpointId, EndpointEntry)> {
    view.endpoints_of(model)
        .filter(|(id, _)| !excluded.contains(*id))
        .min_by_key(|(id, entry)| {
            let load = pool.load(id).map_or(0, |load| load.running + load.waiting);
            (load, &*entry.zone != near, rand::random::<u32>())
        })
        .map(|(id, entry)| (id.clone(), entry.clone()))
}

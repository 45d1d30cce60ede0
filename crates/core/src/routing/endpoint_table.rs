use super::{
    HashRing,
    endpoint_state::{Distance, EndpointState},
    hash_ring::mix,
};
use crate::{
    ids::{EndpointId, FastMap, ModelId, RegionId, ZoneId},
    membership::View,
    settings::{EndpointEntry, Tree},
};

/// Endpoints of the current view, indexed by slot, by ID and by model.
///
/// The index by model has only endpoints that accept requests.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointTable {
    states: Vec<Option<EndpointState>>,
    free: Vec<u32>,
    by_id: FastMap<EndpointId, u32>,
    by_model: FastMap<ModelId, ModelEndpoints>,
}

/// The endpoints of one model that requests are routed to.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelEndpoints {
    pub slots: Vec<u32>,
    pub ring: HashRing,
    /// Order-independent hash of the members; an unchanged ring is not rebuilt.
    fingerprint: u64,
}

impl EndpointTable {
    pub fn set_view(&mut self, zone: &ZoneId, view: &View) {
        self.remove_missing(&view.tree);
        let mut members: FastMap<ModelId, Members> = FastMap::default();
        for (id, entry) in view.tree.endpoints.iter() {
            let distance = distance(&view.tree, zone, entry);
            let slot = self.slot_for(id, distance);
            let takes_work = view.accepts_work(entry);
            if let Some(state) = self.state_mut(slot) {
                state.takes_work = takes_work;
                state.distance = distance;
            }
            if takes_work {
                let is_near = distance < Distance::OtherRegion;
                members.entry(entry.model.clone()).or_default().push(slot, is_near);
            }
        }
        self.set_members(members);
    }

    pub fn model(&self, model: &str) -> Option<&ModelEndpoints> {
        self.by_model.get(model)
    }

    pub fn slot(&self, endpoint: &str) -> Option<u32> {
        self.by_id.get(endpoint).copied()
    }

    pub fn state(&self, slot: u32) -> Option<&EndpointState> {
        self.states.get(slot as usize)?.as_ref()
    }

    pub fn state_mut(&mut self, slot: u32) -> Option<&mut EndpointState> {
        self.states.get_mut(slot as usize)?.as_mut()
    }

    fn remove_missing(&mut self, tree: &Tree) {
        let Self { states, free, by_id, .. } = self;
        by_id.retain(|id, slot| {
            let is_kept = tree.endpoints.contains_key(id);
            if !is_kept {
                states[*slot as usize] = None;
                free.push(*slot);
            }
            is_kept
        });
    }

    fn slot_for(&mut self, id: &EndpointId, distance: Distance) -> u32 {
        if let Some(slot) = self.by_id.get(id) {
            return *slot;
        }
        let slot = self.free.pop().unwrap_or_else(|| {
            self.states.push(None);
            (self.states.len() - 1) as u32
        });
        self.states[slot as usize] = Some(EndpointState::new(id.clone(), distance));
        self.by_id.insert(id.clone(), slot);
        slot
    }

    fn set_members(&mut self, members: FastMap<ModelId, Members>) {
        self.by_model.retain(|model, _| members.contains_key(model));
        for (model, members) in members {
            let slots = members.preferred();
            let hashed = slots.iter().map(|slot| (name_hash(&self.states, *slot), *slot));
            let hashed: Vec<(u64, u32)> = hashed.collect();
            let fingerprint = hashed
                .iter()
                .fold(0, |sum: u64, (hash, slot)| sum.wrapping_add(mix(hash ^ u64::from(*slot))));
            let known = self.by_model.entry(model).or_default();
            if known.fingerprint != fingerprint || known.slots.len() != slots.len() {
                let ring = HashRing::new(hashed.into_iter());
                *known = ModelEndpoints { slots, ring, fingerprint };
            }
        }
    }
}

/// Endpoints of one model that accept requests, in the entry's region and in others.
#[derive(Debug, Default)]
struct Members {
    near: Vec<u32>,
    far: Vec<u32>,
}

impl Members {
    fn push(&mut self, slot: u32, is_near: bool) {
        let side = if is_near { &mut self.near } else { &mut self.far };
        side.push(slot);
    }

    /// Returns the endpoints of the entry's region, or those of other regions if it has none.
    fn preferred(self) -> Vec<u32> {
        if self.near.is_empty() { self.far } else { self.near }
    }
}

/// Distance of an endpoint from an entry in `zone`. If the settings lack that zone, the endpoints of
/// all other zones count as in its region.
fn distance(tree: &Tree, zone: &ZoneId, entry: &EndpointEntry) -> Distance {
    let region = |zone: &ZoneId| -> Option<&RegionId> { Some(&tree.zones.get(zone)?.region) };
    match () {
        _ if entry.zone == *zone => Distance::SameZone,
        _ if region(zone).is_none() || region(zone) == region(&entry.zone) => Distance::SameRegion,
        _ => Distance::OtherRegion,
    }
}

fn name_hash(states: &[Option<EndpointState>], slot: u32) -> u64 {
    let id = states[slot as usize].as_ref().map_or("", |state| &*state.id);
    let hash = blake3::hash(id.as_bytes());
    hash.as_bytes()[..8].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

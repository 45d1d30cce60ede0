use crate::{
    ids::{EndpointId, FastSet, HostId},
    settings::{EndpointEntry, Tree},
};
use std::sync::Arc;

/// What one daemon knows at one moment: settings in force and hosts that are leaving.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Settings in force.
    pub tree: Arc<Tree>,
    /// Hosts that the platform lists as leaving.
    pub leaving: Arc<FastSet<HostId>>,
    /// Whether the daemon heard from the platform or a peer recently enough to take new work.
    pub is_current: bool,
}

impl View {
    /// Says whether new work may go to an endpoint: its zone is in and its host stays.
    pub fn takes_work(&self, endpoint: &EndpointEntry) -> bool {
        self.tree.zone_is_in(&endpoint.zone) && !self.leaving.contains(&endpoint.host)
    }

    /// Lists the endpoints of a model that may get new work.
    pub fn endpoints_of<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a EndpointEntry)> {
        self.tree
            .endpoints
            .iter()
            .filter(move |(_, entry)| &*entry.model == model && self.takes_work(entry))
    }
}

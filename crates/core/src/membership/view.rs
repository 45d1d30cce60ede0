use crate::{
    ids::{EndpointId, FastSet, HostId},
    settings::{EndpointEntry, Tree},
};
use std::sync::Arc;

/// Immutable view of the settings and leaving hosts that a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Current settings.
    pub tree: Arc<Tree>,
    /// Hosts that the host list reports as leaving.
    pub leaving: Arc<FastSet<HostId>>,
    /// Whether the view is recent enough for the daemon to accept new work; see
    /// [`Gossip::current_until`](super::Gossip::current_until).
    pub is_current: bool,
}

impl View {
    /// Returns whether an endpoint may receive new work: its zone is in service and its host is not
    /// leaving.
    pub fn accepts_work(&self, endpoint: &EndpointEntry) -> bool {
        self.tree.is_zone_in_service(&endpoint.zone) && !self.leaving.contains(&endpoint.host)
    }

    /// Iterates over the endpoints of a model that may receive new work.
    pub fn endpoints_of<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a EndpointEntry)> {
        self.tree
            .endpoints
            .iter()
            .filter(move |(_, entry)| &*entry.model == model && self.accepts_work(entry))
    }
}

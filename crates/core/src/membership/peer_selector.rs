use super::PeerInfo;
use crate::ids::{DaemonId, FastMap, ZoneId};
use rand::{RngExt, rngs::StdRng};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time for which a daemon is still contacted after its registration ended.
const REMOVED_PEER_RETENTION: Duration = Duration::from_secs(60);

/// Selects peers to contact, excluding those that recently did not answer.
#[derive(Clone, Debug, Default)]
pub struct PeerSelector {
    registered: Arc<Vec<PeerInfo>>,
    recently_removed: FastMap<DaemonId, (PeerInfo, Instant)>,
    excluded_until: FastMap<SocketAddr, Instant>,
}

impl PeerSelector {
    /// Currently registered daemons.
    pub fn registered(&self) -> &Arc<Vec<PeerInfo>> {
        &self.registered
    }

    /// Replaces the registered daemons. Former ones are kept as candidates for a while, because an
    /// outage of the service may end all registrations at once.
    pub fn on_members(&mut self, now: Instant, members: Vec<PeerInfo>) {
        for peer in self.registered.iter() {
            self.recently_removed.insert(peer.daemon.clone(), (peer.clone(), now));
        }
        for peer in &members {
            self.recently_removed.remove(&peer.daemon);
        }
        self.recently_removed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REMOVED_PEER_RETENTION);
        self.registered = Arc::new(members);
    }

    /// Excludes a peer that did not answer until the given time.
    pub fn on_timeout(&mut self, address: SocketAddr, until: Instant) {
        self.excluded_until.insert(address, until);
    }

    /// Makes a peer that answered selectable again.
    pub fn on_reply(&mut self, address: SocketAddr) {
        self.excluded_until.remove(&address);
    }

    /// Removes exclusions that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.excluded_until.retain(|_, until| *until > now);
    }

    /// Returns whether a peer is not excluded.
    pub fn is_usable(&self, address: SocketAddr) -> bool {
        !self.excluded_until.contains_key(&address)
    }

    /// Selects a random usable peer for which `matches` returns true; `None` if there is none.
    pub fn select(
        &self,
        rng: &mut StdRng,
        matches: impl Fn(&PeerInfo) -> bool,
    ) -> Option<SocketAddr> {
        let registered = self.registered.iter();
        let recently_removed = self.recently_removed.values().map(|(peer, _)| peer);
        let usable = registered
            .chain(recently_removed)
            .filter(|peer| matches(peer) && self.is_usable(peer.address))
            .map(|peer| peer.address);
        let count = usable.clone().count();
        (count > 0).then(|| usable.clone().nth(rng.random_range(0..count))).flatten()
    }

    /// Zones of the registered daemons, one item for each daemon.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.registered.iter().map(|peer| &peer.zone)
    }
}

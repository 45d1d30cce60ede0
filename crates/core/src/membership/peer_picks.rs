use super::PeerInfo;
use crate::ids::{DaemonId, FastMap, ZoneId};
use rand::{RngExt, rngs::StdRng};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time for which a daemon is still contacted after its registration ended.
const REMEMBERED: Duration = Duration::from_secs(60);

/// Selects peers to contact, excluding those that recently did not answer.
#[derive(Clone, Debug, Default)]
pub struct PeerPicks {
    registered: Arc<Vec<PeerInfo>>,
    remembered: FastMap<DaemonId, (PeerInfo, Instant)>,
    suspects: FastMap<SocketAddr, Instant>,
}

impl PeerPicks {
    /// Currently registered daemons.
    pub fn registered(&self) -> &Arc<Vec<PeerInfo>> {
        &self.registered
    }

    /// Replaces the registered daemons. Former ones are kept as candidates for a while, because an
    /// outage of the service may end all registrations at once.
    pub fn on_members(&mut self, now: Instant, members: Vec<PeerInfo>) {
        for peer in self.registered.iter() {
            self.remembered.insert(peer.daemon.clone(), (peer.clone(), now));
        }
        for peer in &members {
            self.remembered.remove(&peer.daemon);
        }
        self.remembered.retain(|_, (_, at)| now.saturating_duration_since(*at) < REMEMBERED);
        self.registered = Arc::new(members);
    }

    /// Excludes a peer that did not answer until the given time.
    pub fn on_silent(&mut self, address: SocketAddr, until: Instant) {
        self.suspects.insert(address, until);
    }

    /// Makes a peer that answered selectable again.
    pub fn on_answer(&mut self, address: SocketAddr) {
        self.suspects.remove(&address);
    }

    /// Removes exclusions that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.suspects.retain(|_, until| *until > now);
    }

    /// Returns whether a peer is not excluded.
    pub fn is_usable(&self, address: SocketAddr) -> bool {
        !self.suspects.contains_key(&address)
    }

    /// Selects a random usable peer that matches `wanted`; `None` if no peer does.
    pub fn draw(&self, rng: &mut StdRng, wanted: impl Fn(&PeerInfo) -> bool) -> Option<SocketAddr> {
        let registered = self.registered.iter();
        let remembered = self.remembered.values().map(|(peer, _)| peer);
        let usable = registered
            .chain(remembered)
            .filter(|peer| wanted(peer) && self.is_usable(peer.address))
            .map(|peer| peer.address);
        let count = usable.clone().count();
        (count > 0).then(|| usable.clone().nth(rng.random_range(0..count))).flatten()
    }

    /// Zones of the registered daemons, one item for each daemon.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.registered.iter().map(|peer| &peer.zone)
    }
}

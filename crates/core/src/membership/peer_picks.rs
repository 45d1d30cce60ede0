use super::PeerInfo;
use crate::ids::{DaemonId, FastMap, ZoneId};
use rand::{RngExt, rngs::StdRng};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time for which a daemon whose registration ended is still asked.
const REMEMBERED: Duration = Duration::from_secs(60);

/// Peers to ask, with those that lately did not answer left out.
#[derive(Clone, Debug, Default)]
pub struct PeerPicks {
    registered: Arc<Vec<PeerInfo>>,
    remembered: FastMap<DaemonId, (PeerInfo, Instant)>,
    suspects: FastMap<SocketAddr, Instant>,
}

impl PeerPicks {
    /// Registered daemons.
    pub fn registered(&self) -> &Arc<Vec<PeerInfo>> {
        &self.registered
    }

    /// Replaces the registered daemons; earlier ones are remembered for a while, as after an
    /// outage of the service every registration may have ended at once.
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

    /// Notes that a peer did not answer.
    pub fn on_silent(&mut self, address: SocketAddr, until: Instant) {
        self.suspects.insert(address, until);
    }

    /// Notes that a peer answered.
    pub fn on_answer(&mut self, address: SocketAddr) {
        self.suspects.remove(&address);
    }

    /// Forgets suspicions that are over.
    pub fn expire(&mut self, now: Instant) {
        self.suspects.retain(|_, until| *until > now);
    }

    /// Says whether a peer may be asked.
    pub fn is_usable(&self, address: SocketAddr) -> bool {
        !self.suspects.contains_key(&address)
    }

    /// Draws a usable peer that `wanted` takes.
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

    /// Zones with registered daemons.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.registered.iter().map(|peer| &peer.zone)
    }
}

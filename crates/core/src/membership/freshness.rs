use super::SpreadConfig;
use crate::ids::{Revision, ZoneId};
use std::{collections::BTreeMap, time::Instant};

/// How long this daemon can be sure that no accepted change is hidden from it.
///
/// Either a recent read of the service confirmed the settings that are held, or every zone
/// recently reported that the service cannot be reached, so that nothing can be accepted.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    confirmed: Option<Instant>,
    pending: Option<(Instant, Revision)>,
    down: BTreeMap<ZoneId, Instant>,
    peer_heard: Option<Instant>,
    highest_heard: Revision,
}

impl Freshness {
    /// Notes that the service's newest revision was `revision` at a time.
    pub fn on_confirmed(&mut self, at: Instant, revision: Revision, held: Revision) {
        self.highest_heard = self.highest_heard.max(revision);
        match held >= revision {
            true => self.confirmed = self.confirmed.max(Some(at)),
            false => self.pending = self.pending.max(Some((at, revision))),
        }
    }

    /// Notes that the settings that are held changed.
    pub fn on_held(&mut self, held: Revision) {
        self.highest_heard = self.highest_heard.max(held);
        if let Some((at, _)) = self.pending.take_if(|(_, revision)| held >= *revision) {
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    /// Notes a zone's report that the service could not be reached at a time.
    pub fn on_down(&mut self, zone: &ZoneId, at: Instant) {
        let last = self.down.entry(zone.clone()).or_insert(at);
        *last = at.max(*last);
    }

    /// Notes the answer to a request that was sent to another daemon at a time.
    pub fn on_peer(&mut self, sent: Instant, revision: Revision) {
        self.peer_heard = self.peer_heard.max(Some(sent));
        self.highest_heard = self.highest_heard.max(revision);
    }

    /// When the last request that a peer answered was sent.
    pub fn peer_heard(&self) -> Option<Instant> {
        self.peer_heard
    }

    /// Last confirmed contact.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Reports that the service is down which still count.
    pub fn down(
        &self,
        now: Instant,
        cfg: &SpreadConfig,
    ) -> impl Iterator<Item = (&ZoneId, Instant)> {
        let bound = cfg.down_freshness;
        self.down
            .iter()
            .filter(move |(_, at)| now.saturating_duration_since(**at) <= bound)
            .map(|(zone, at)| (zone, *at))
    }

    /// Moment until which the settings that are held count as current without further news.
    ///
    /// `zones` are those of the registered daemons; `has_peers` says whether there are others.
    pub fn current_until<'a>(
        &self,
        held: Revision,
        zones: impl Iterator<Item = &'a ZoneId>,
        has_peers: bool,
        cfg: &SpreadConfig,
    ) -> Option<Instant> {
        let confirmed = self.confirmed.map(|at| at + cfg.freshness);
        confirmed.max(self.outage_until(held, zones, has_peers, cfg))
    }

    /// Moment until which the service counts as down for everyone.
    pub fn outage_until<'a>(
        &self,
        held: Revision,
        mut zones: impl Iterator<Item = &'a ZoneId>,
        has_peers: bool,
        cfg: &SpreadConfig,
    ) -> Option<Instant> {
        if held < self.highest_heard {
            return None;
        }
        let first = self.down.values().max().map(|at| *at + cfg.down_freshness)?;
        let by_zones = zones.try_fold(first, |until, zone| {
            Some(until.min(*self.down.get(zone)? + cfg.down_freshness))
        })?;
        match has_peers {
            true => Some(by_zones.min(self.peer_heard? + cfg.down_freshness)),
            false => Some(by_zones),
        }
    }
}

use super::GossipConfig;
use crate::ids::{Revision, ZoneId};
use std::{collections::BTreeMap, time::Instant};

/// Tracks until when the local settings are known to include every accepted change.
///
/// This holds if a recent read of the service confirmed the local settings, or if every zone
/// recently reported the service as unreachable, in which case no change can be accepted.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    confirmed: Option<Instant>,
    /// Latest read of a newer revision than the local one; confirms once that revision is held.
    pending: Option<(Instant, Revision)>,
    down_reports: BTreeMap<ZoneId, Instant>,
    last_peer_contact: Option<Instant>,
    highest_known: Revision,
}

impl Freshness {
    /// Records that `revision` was the service's newest revision at time `at`.
    ///
    /// If the local revision `held` is older, the local settings count as confirmed at `at` only
    /// once they reach `revision`.
    pub fn on_confirmed(&mut self, at: Instant, revision: Revision, held: Revision) {
        self.highest_known = self.highest_known.max(revision);
        match held >= revision {
            true => self.confirmed = self.confirmed.max(Some(at)),
            false => self.pending = self.pending.max(Some((at, revision))),
        }
    }

    /// Records the local settings revision after a change.
    pub fn on_held(&mut self, held: Revision) {
        self.highest_known = self.highest_known.max(held);
        if let Some((at, _)) = self.pending.take_if(|(_, revision)| held >= *revision) {
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    /// Records a zone's report that the service was unreachable at time `at`.
    pub fn on_down_report(&mut self, zone: &ZoneId, at: Instant) {
        let last = self.down_reports.entry(zone.clone()).or_insert(at);
        *last = at.max(*last);
    }

    /// Records a peer's settings revision, received in answer to a request sent at `sent`.
    pub fn on_peer_reply(&mut self, sent: Instant, revision: Revision) {
        self.last_peer_contact = self.last_peer_contact.max(Some(sent));
        self.highest_known = self.highest_known.max(revision);
    }

    /// Send time of the latest request that a peer answered.
    pub fn last_peer_contact(&self) -> Option<Instant> {
        self.last_peer_contact
    }

    /// Time of the latest service read that confirmed the local settings; `None` if none did.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Zones with a valid report that the service is unreachable, with the time of the report.
    pub fn down_reports(
        &self,
        now: Instant,
        cfg: &GossipConfig,
    ) -> impl Iterator<Item = (&ZoneId, Instant)> {
        let bound = cfg.down_report_ttl;
        self.down_reports
            .iter()
            .filter(move |(_, at)| now.saturating_duration_since(**at) <= bound)
            .map(|(zone, at)| (zone, *at))
    }

    /// Time until which the local settings count as current if no further update arrives.
    ///
    /// `zones` are the zones that must all report an outage; `has_peers` says whether other daemons
    /// are registered. `None` if the settings were never confirmed and [`Self::outage_until`] gives
    /// `None`.
    pub fn current_until<'a>(
        &self,
        held: Revision,
        zones: impl Iterator<Item = &'a ZoneId>,
        has_peers: bool,
        cfg: &GossipConfig,
    ) -> Option<Instant> {
        let confirmed = self.confirmed.map(|at| at + cfg.freshness);
        confirmed.max(self.outage_until(held, zones, has_peers, cfg))
    }

    /// Time until which the service counts as unreachable from every zone.
    ///
    /// `None` if no zone or not every one of `zones` has reported an outage, if a newer revision is
    /// known to exist, or if `has_peers` and no peer has ever answered.
    pub fn outage_until<'a>(
        &self,
        held: Revision,
        mut zones: impl Iterator<Item = &'a ZoneId>,
        has_peers: bool,
        cfg: &GossipConfig,
    ) -> Option<Instant> {
        if held < self.highest_known {
            return None;
        }
        let latest = self.down_reports.values().max().map(|at| *at + cfg.down_report_ttl)?;
        let by_zones = zones.try_fold(latest, |until, zone| {
            Some(until.min(*self.down_reports.get(zone)? + cfg.down_report_ttl))
        })?;
        match has_peers {
            true => Some(by_zones.min(self.last_peer_contact? + cfg.down_report_ttl)),
            false => Some(by_zones),
        }
    }
}

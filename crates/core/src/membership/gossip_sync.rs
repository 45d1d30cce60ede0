use super::{Action, Gossip, PeerInfo, SlotHolder, SyncDelta, SyncDigest};
use crate::{
    ids::{Revision, ZoneId},
    ledger::RawRecord,
};
use rand::RngExt;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Maximum number of requests to other peers after unanswered ones, for each round.
const RETRIES_PER_ROUND: u32 = 3;
/// Factor by which rounds are more frequent while the view is about to become stale.
const URGENT_SPEEDUP: u32 = 8;
/// Minimum interval between pulls triggered by revisions in incoming calls.
const OBSERVED_PULL_INTERVAL: Duration = Duration::from_millis(50);

impl Gossip {
    /// Pulls from the sender of an incoming call that carried a newer revision.
    pub(super) fn on_revision_observed(
        &mut self,
        now: Instant,
        revision: Revision,
        address: SocketAddr,
    ) -> Vec<Action> {
        if revision <= self.settings.revision() || now < self.next_observed_pull {
            return Vec::new();
        }
        self.next_observed_pull = now + OBSERVED_PULL_INTERVAL;
        vec![self.sync_with(address)]
    }

    /// Returns the requests of the next anti-entropy round if it is due.
    pub(super) fn due_syncs(&mut self, now: Instant) -> Vec<Action> {
        if now < self.next_sync {
            return Vec::new();
        }
        let period = if self.is_urgent(now) {
            self.cfg.sync_interval / URGENT_SPEEDUP
        } else {
            self.cfg.sync_interval
        };
        self.next_sync = now + self.jittered(period);
        self.retries_left = RETRIES_PER_ROUND;
        let local_daemon = self.local_peer.daemon.clone();
        let zone = self.local_peer.zone.clone();
        let zone_peer = match self.is_watcher() {
            // The zone's other watcher has the same state; a watcher of another zone may have more.
            true => None,
            false => self.select_watcher(now).or_else(|| {
                self.peer_selector
                    .select(&mut self.rng, |p| p.zone == zone && p.daemon != local_daemon)
            }),
        };
        let crosses_zones = self.rng.random_bool(0.5) || (self.is_watcher() && self.is_urgent(now));
        let other = self
            .peer_selector
            .select(&mut self.rng, |p| {
                (p.zone != zone) == crosses_zones && p.daemon != local_daemon
            })
            .or_else(|| self.peer_selector.select(&mut self.rng, |p| p.daemon != local_daemon));
        let mut targets = zone_peer.into_iter().chain(other).collect::<Vec<_>>();
        if targets.is_empty() || !self.settings.is_known() {
            targets.extend(self.select_bootstrap());
        }
        targets.dedup();
        targets.into_iter().map(|address| self.sync_with(address)).collect()
    }

    /// Returns whether the view is about to become stale, for example at the start of an outage.
    fn is_urgent(&self, now: Instant) -> bool {
        let is_unconfirmed =
            self.freshness.confirmed().is_none_or(|at| at + self.cfg.freshness < now);
        let has_down_reports = self.freshness.down_reports(now, &self.cfg).next().is_some();
        let margin_share = match (has_down_reports, is_unconfirmed) {
            // Reports from every zone must arrive before the last confirmed read becomes too old.
            (true, false) => 0.7,
            // Existing reports or the last confirmed read only have to be renewed.
            (true, true) | (false, _) => 0.5,
        };
        let margin = self.cfg.freshness.mul_f64(margin_share);
        // A daemon that has been partitioned for longer returns to the normal interval.
        let window = (now - self.cfg.freshness)..(now + margin);
        self.settings.is_known()
            && self.current_until().is_some_and(|until| window.contains(&until))
    }

    fn select_watcher(&mut self, now: Instant) -> Option<SocketAddr> {
        let recent_holders = self.slots.recent_holders(now, self.cfg.slot_holder_timeout);
        let addresses = recent_holders
            .filter_map(|(_, daemon, _)| self.members.get(daemon))
            .map(|peer| peer.address)
            .filter(|address| self.peer_selector.is_usable(*address))
            .collect::<Vec<_>>();
        let count = addresses.len();
        (count > 0).then(|| addresses[self.rng.random_range(0..count)])
    }

    fn select_bootstrap(&mut self) -> Option<SocketAddr> {
        let own = self.local_peer.address;
        let usable = self.cfg.bootstrap.iter().copied().filter(|address| *address != own);
        let usable = usable.collect::<Vec<_>>();
        let count = usable.len();
        (count > 0).then(|| usable[self.rng.random_range(0..count)])
    }

    pub(super) fn sync_with(&mut self, to: SocketAddr) -> Action {
        let digest = SyncDigest {
            members: self.members.version(),
            hosts: self.hosts.digest(),
            page_after: self.settings.next_page_after(),
        };
        Action::Sync { to, revision: self.settings.revision(), digest }
    }

    /// Returns the local revision and the response to a peer's request, and the actions to perform.
    ///
    /// If the peer has a newer revision, the action is a pull from that peer.
    pub fn on_sync(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        revision: Revision,
        digest: &SyncDigest,
    ) -> (Revision, SyncDelta, Vec<Action>) {
        let held = self.settings.revision();
        let records = self.settings.records_after(revision);
        let page =
            digest.page_after.as_ref().map(|after| self.settings.page_after(after.as_deref()));
        let delta = SyncDelta {
            confirmed_ms: self.freshness.confirmed().map(|at| millis_since(now, at)),
            down_ms: with_ages(now, self.freshness.down_reports(now, &self.cfg)),
            lapsed_ms: with_ages(now, self.possibly_alive_zones()),
            watchers: self.slot_holders_for(now, &from.zone),
            is_too_far: records.is_none(),
            records: records
                .unwrap_or_default()
                .into_iter()
                .map(|record| (record.revision, record.value.to_vec()))
                .collect(),
            page,
            members: self.members.delta_for(digest.members),
            hosts: self.hosts.records_if_changed(digest.hosts),
        };
        let is_behind = revision > held;
        let actions = is_behind.then(|| self.sync_with(from.address)).into_iter().collect();
        (held, delta, actions)
    }

    fn slot_holders_for(&mut self, now: Instant, zone: &ZoneId) -> Vec<SlotHolder> {
        if *zone != self.local_peer.zone {
            return Vec::new();
        }
        if let Some((slot, _)) = self.slots.own() {
            let local_daemon = self.local_peer.daemon.clone();
            self.slots.on_holder(slot, &local_daemon, now);
        }
        self.slots.holder_reports(now, self.cfg.slot_holder_timeout)
    }

    pub(super) fn on_sync_replied(
        &mut self,
        now: Instant,
        to: SocketAddr,
        sent: Instant,
        reply: Option<(Revision, Box<SyncDelta>)>,
    ) -> Vec<Action> {
        let Some((revision, delta)) = reply else { return self.on_peer_timeout(now, to) };
        self.peer_selector.on_reply(to);
        self.freshness.on_peer_reply(sent, revision);
        let before = (self.settings.revision(), self.settings.next_page_after());
        self.apply_settings(revision, &delta);
        // The age was measured after the request was sent, so subtracting it from the send time
        // never gives a time later than the actual one.
        let at = |age_ms: u32| sent.checked_sub(Duration::from_millis(age_ms.into()));
        let held = self.settings.revision();
        self.freshness.on_held(held);
        if let Some(confirmed) = delta.confirmed_ms.and_then(at) {
            self.freshness.on_confirmed(confirmed, revision, held);
        }
        for (zone, age_ms) in &delta.down_ms {
            at(*age_ms).into_iter().for_each(|at| self.freshness.on_down_report(zone, at));
        }
        for (zone, age_ms) in &delta.lapsed_ms {
            at(*age_ms).into_iter().for_each(|at| self.lapsed_zones.on_report(zone, at));
        }
        for watcher in &delta.watchers {
            let reported_at = at(watcher.age_ms);
            reported_at.into_iter().for_each(|at| {
                self.slots.on_holder(watcher.slot.into(), &watcher.daemon, at);
            });
        }
        self.hosts.merge(delta.hosts.unwrap_or_default());
        let is_changed = self.members.apply_delta(delta.members);
        let mut actions = self.on_members_changed(now, is_changed);
        let after = (self.settings.revision(), self.settings.next_page_after());
        let is_progressing = before != after && (after.0 < revision || after.1.is_some());
        actions.extend(is_progressing.then(|| self.sync_with(to)));
        actions
    }

    fn apply_settings(&mut self, revision: Revision, delta: &SyncDelta) {
        let records = delta.records.iter().map(|(revision, value)| RawRecord {
            revision: *revision,
            value: value.as_slice().into(),
        });
        self.settings.on_records(records.collect());
        if let Some(page) = &delta.page {
            self.settings.on_page(page.clone(), revision);
        }
        if delta.is_too_far {
            self.settings.start_paged_load(revision);
        }
        if delta.confirmed_ms.is_some() && self.settings.revision() >= revision {
            self.settings.mark_known();
        }
    }

    fn on_peer_timeout(&mut self, now: Instant, to: SocketAddr) -> Vec<Action> {
        self.peer_selector.on_timeout(to, now + self.cfg.peer_exclusion);
        if self.retries_left == 0 {
            return Vec::new();
        }
        self.retries_left -= 1;
        let local_daemon = self.local_peer.daemon.clone();
        let other = self.peer_selector.select(&mut self.rng, |peer| peer.daemon != local_daemon);
        other.map(|address| self.sync_with(address)).into_iter().collect()
    }
}

/// Converts the time of each zone's event to its age in milliseconds.
fn with_ages<'a>(
    now: Instant,
    zones: impl Iterator<Item = (&'a ZoneId, Instant)>,
) -> Vec<(ZoneId, u32)> {
    zones.map(|(zone, at)| (zone.clone(), millis_since(now, at))).collect()
}

fn millis_since(now: Instant, at: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}

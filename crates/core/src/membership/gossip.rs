use super::{
    Action, Event, Freshness, GossipConfig, HostTable, MemberTable, PeerInfo, Slots, View,
    lapsed_zones::LapsedZones, peer_selector::PeerSelector, settings_state::SettingsState,
};
use crate::{
    ids::{Revision, ZoneId},
    ledger::RawRecord,
    settings::Tree,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// State machine that replicates settings and membership to and from one daemon.
///
/// It performs no I/O: it takes an [`Event`] and returns the [`Action`]s to perform.
#[derive(Debug)]
pub struct Gossip {
    pub(super) local_peer: PeerInfo,
    pub(super) cfg: GossipConfig,
    pub(super) rng: StdRng,
    pub(super) started: Instant,
    pub(super) settings: SettingsState,
    pub(super) freshness: Freshness,
    pub(super) members: MemberTable,
    pub(super) hosts: HostTable,
    pub(super) slots: Slots,
    pub(super) peer_selector: PeerSelector,
    pub(super) lapsed_zones: LapsedZones,
    pub(super) service: ServiceState,
    pub(super) next_sync: Instant,
    pub(super) next_observed_pull: Instant,
    pub(super) retries_left: u32,
}

/// Calls to the key-value service and the host list: which are in flight, and when the next are
/// due.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    pub reading: bool,
    pub reading_members: bool,
    pub reading_hosts: bool,
    pub registering: bool,
    pub campaigning: bool,
    pub renewing_slot: bool,
    pub watching_log: bool,
    pub watching_members: bool,
    pub is_compacted: bool,
    pub registration: Option<i64>,
    pub next_read: Instant,
    pub next_members: Instant,
    pub next_hosts: Instant,
    pub next_registration: Instant,
    pub next_slot: Instant,
    pub backoff: Duration,
    pub snapshot_revision: Revision,
    pub next_snapshot: Option<Instant>,
}

impl ServiceState {
    fn new(now: Instant) -> Self {
        Self {
            reading: false,
            reading_members: false,
            reading_hosts: false,
            registering: false,
            campaigning: false,
            renewing_slot: false,
            watching_log: false,
            watching_members: false,
            is_compacted: false,
            registration: None,
            next_read: now,
            next_members: now,
            next_hosts: now,
            next_registration: now,
            next_slot: now,
            backoff: Duration::ZERO,
            snapshot_revision: 0,
            next_snapshot: None,
        }
    }
}

/// Replication status of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipStatus {
    /// Revision of the current settings.
    pub revision: Revision,
    /// Watcher slot held by this daemon; `None` if it is not a watcher.
    pub slot: Option<usize>,
    /// Time since the last confirmed read of the service; `None` if there was none.
    pub confirmed_age: Option<Duration>,
    /// Zones with a valid report that the service is unreachable.
    pub down: Vec<ZoneId>,
    /// Number of registered daemons.
    pub members: usize,
    /// Number of unreadable records and changes that were skipped.
    pub skipped_changes: u64,
}

impl Gossip {
    /// Creates the state of a daemon that starts at `now`; `seed` seeds its random choices.
    pub fn new(now: Instant, local_peer: PeerInfo, cfg: GossipConfig, seed: u64) -> Self {
        Self {
            local_peer,
            cfg,
            rng: StdRng::seed_from_u64(seed),
            started: now,
            settings: SettingsState::default(),
            freshness: Freshness::default(),
            members: MemberTable::default(),
            hosts: HostTable::default(),
            slots: Slots::default(),
            peer_selector: PeerSelector::default(),
            lapsed_zones: LapsedZones::default(),
            service: ServiceState::new(now),
            next_sync: now,
            next_observed_pull: now,
            retries_left: 0,
        }
    }

    /// Processes an event and returns the actions to perform.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.on_tick(now),
            Event::SettingsRead { sent, result } => self.on_settings_read(now, sent, result),
            Event::LogWatchUpdate(records) | Event::RecordsReceived(records) => {
                self.on_records_received(records)
            }
            Event::LogWatchEnded => {
                self.service.watching_log = false;
                Vec::new()
            }
            Event::MembersRead(result) => self.on_members_read(now, result),
            Event::MemberWatchUpdate { version, joined, left } => {
                let is_changed = self.members.on_changes(version, joined, left);
                self.on_members_changed(now, is_changed)
            }
            Event::MemberWatchEnded => {
                self.service.watching_members = false;
                self.service.next_members = now;
                Vec::new()
            }
            Event::Registered(result) => self.on_registered(now, result),
            Event::RegistrationRenewed(result) => self.on_registration_renewed(now, result),
            Event::Campaigned { slot, result } => self.on_campaigned(now, slot, result),
            Event::SlotRenewed(result) => self.on_slot_renewed(now, result),
            Event::HostsRead(list) => self.on_hosts_read(now, list),
            Event::SyncReplied { to, sent, reply } => self.on_sync_replied(now, to, sent, reply),
            Event::RevisionObserved { revision, address } => {
                self.on_revision_observed(now, revision, address)
            }
        }
    }

    /// Returns the settings and leaving hosts known at `now`.
    pub fn view(&self, now: Instant) -> View {
        View {
            tree: self.settings.tree().clone(),
            leaving: self.hosts.leaving().clone(),
            is_current: self.current_until().is_some_and(|until| now <= until),
        }
    }

    /// Time until which the view counts as current if no further update arrives; `None` if the
    /// settings are not known or [`Freshness::current_until`] gives `None`.
    pub fn current_until(&self) -> Option<Instant> {
        if !self.settings.is_known() {
            return None;
        }
        let held = self.settings.revision();
        let has_peers = self.has_peers();
        let lapsed = self.possibly_alive_zones().map(|(zone, _)| zone);
        let zones = self.zones().chain(lapsed);
        self.freshness.current_until(held, zones, has_peers, &self.cfg)
    }

    /// Registered daemons, including this one.
    pub fn peers(&self) -> &Arc<Vec<PeerInfo>> {
        self.peer_selector.registered()
    }

    /// Current settings.
    pub fn tree(&self) -> &Arc<Tree> {
        self.settings.tree()
    }

    /// Leases that this daemon holds at the service, to revoke on shutdown.
    pub fn leases(&self) -> Vec<i64> {
        let slot = self.slots.own().map(|(_, lease)| lease);
        self.service.registration.into_iter().chain(slot).collect()
    }

    /// Returns the replication status at `now`.
    pub fn status(&self, now: Instant) -> GossipStatus {
        let age = |at| now.saturating_duration_since(at);
        GossipStatus {
            revision: self.settings.revision(),
            slot: self.slots.own().map(|(slot, _)| slot),
            confirmed_age: self.freshness.confirmed().map(age),
            down: self
                .freshness
                .down_reports(now, &self.cfg)
                .map(|(zone, _)| zone.clone())
                .collect(),
            members: self.peer_selector.registered().len(),
            skipped_changes: self.settings.skipped(),
        }
    }

    pub(super) fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.peer_selector.zones()
    }

    /// Zones without a registered daemon that may still have running daemons, with the time at
    /// which the last registration ended.
    pub(super) fn possibly_alive_zones(&self) -> impl Iterator<Item = (&ZoneId, Instant)> {
        self.lapsed_zones.possibly_alive(self.freshness.confirmed(), self.cfg.member_lease)
    }

    pub(super) fn has_peers(&self) -> bool {
        self.peer_selector.registered().iter().any(|peer| peer.daemon != self.local_peer.daemon)
    }

    pub(super) fn is_watcher(&self) -> bool {
        self.slots.own().is_some()
    }

    /// Randomizes `period` by up to 15% so that daemons do not act in lockstep.
    pub(super) fn jittered(&mut self, period: Duration) -> Duration {
        period.mul_f64(self.rng.random_range(0.85..1.15))
    }

    fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        self.peer_selector.expire(now);
        let mut actions = self.due_service_calls(now);
        actions.extend(self.due_syncs(now));
        actions
    }

    fn on_records_received(&mut self, records: Vec<RawRecord>) -> Vec<Action> {
        self.settings.on_records(records);
        self.freshness.on_held(self.settings.revision());
        Vec::new()
    }
}

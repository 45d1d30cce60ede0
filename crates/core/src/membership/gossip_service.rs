use super::{
    Action, CampaignOutcome, Gossip, MemberRead, ServiceUnavailable, SettingsRead, slots::SLOTS,
};
use crate::ids::HostId;
use rand::RngExt;
use std::time::{Duration, Instant};

/// Initial backoff after a call that the service did not answer.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

impl Gossip {
    /// Returns the calls to the key-value service and the host list that are due.
    pub(super) fn due_service_calls(&mut self, now: Instant) -> Vec<Action> {
        let calls = [
            self.due_read(now),
            self.due_registration(now),
            self.due_campaign(now),
            self.due_slot_renewal(now),
            self.due_members(now),
            self.due_hosts(now),
            self.due_snapshot(now),
        ];
        calls.into_iter().flatten().collect()
    }

    fn due_read(&mut self, now: Instant) -> Option<Action> {
        if self.service.reading || now < self.service.next_read || !self.needs_read(now) {
            return None;
        }
        self.service.reading = true;
        let must_load = !self.settings.is_known() || self.service.is_compacted;
        Some(match must_load {
            true => Action::LoadSettings,
            false => Action::ReadLog { next: self.settings.revision() + 1 },
        })
    }

    /// Watchers always read; other daemons only if peers do not keep their view current.
    fn needs_read(&self, now: Instant) -> bool {
        if self.is_watcher() {
            return true;
        }
        let is_startup_over = now.saturating_duration_since(self.started) >= self.cfg.startup_grace;
        if !is_startup_over && !self.cfg.bootstrap.is_empty() {
            return false;
        }
        let margin = self.cfg.freshness / 4;
        self.current_until().is_none_or(|until| until < now + margin)
    }

    fn due_registration(&mut self, now: Instant) -> Option<Action> {
        if !self.local_peer.is_entry
            || self.service.registering
            || now < self.service.next_registration
        {
            return None;
        }
        self.service.registering = true;
        Some(match self.service.registration {
            Some(lease) => Action::RenewRegistration { lease },
            None => Action::Register,
        })
    }

    fn due_campaign(&mut self, now: Instant) -> Option<Action> {
        let is_startup_over = now.saturating_duration_since(self.started) >= self.cfg.startup_grace;
        let is_ready = self.local_peer.is_entry && is_startup_over && !self.is_watcher();
        if !is_ready || self.service.campaigning || now < self.service.next_slot {
            return None;
        }
        let slot = self.slots.vacant(now, self.cfg.slot_holder_timeout)?;
        self.service.next_slot = now + self.jittered(self.cfg.sync_interval);
        // On average, one daemon of the zone campaigns in each interval.
        let candidates = self.zones().filter(|zone| **zone == self.local_peer.zone).count().max(1);
        if self.rng.random_range(0..candidates) > 0 {
            return None;
        }
        self.service.campaigning = true;
        Some(Action::Campaign { slot })
    }

    fn due_slot_renewal(&mut self, now: Instant) -> Option<Action> {
        let (_, lease) = self.slots.own()?;
        if self.service.renewing_slot || now < self.service.next_slot {
            return None;
        }
        self.service.renewing_slot = true;
        Some(Action::RenewSlot { lease })
    }

    fn due_members(&mut self, now: Instant) -> Option<Action> {
        let must_read = self.is_first_watcher() || self.is_isolated(now);
        if !must_read || self.service.reading_members || now < self.service.next_members {
            return None;
        }
        self.service.reading_members = true;
        Some(Action::ReadMembers)
    }

    fn is_first_watcher(&self) -> bool {
        self.slots.own().is_some_and(|(slot, _)| slot == 0)
    }

    /// Returns whether no peer answered recently, so that the members must be read from the
    /// service.
    fn is_isolated(&self, now: Instant) -> bool {
        let since = self.freshness.last_peer_contact().unwrap_or(self.started);
        now.saturating_duration_since(since) >= self.cfg.freshness.max(self.cfg.startup_grace)
    }

    fn due_hosts(&mut self, now: Instant) -> Option<Action> {
        let is_due = self.is_watcher() && now >= self.service.next_hosts;
        if !is_due || self.service.reading_hosts {
            return None;
        }
        self.service.reading_hosts = true;
        self.service.next_hosts = now + self.jittered(self.cfg.host_list_interval);
        Some(Action::ReadHosts)
    }

    /// Returns a snapshot write once the log has grown enough. The watchers in slot 0 of all zones
    /// each wait a random time, so that all but the first find the snapshot already written.
    fn due_snapshot(&mut self, now: Instant) -> Option<Action> {
        let every = self.cfg.revisions_per_snapshot;
        let has_grown = self.settings.revision() >= self.service.snapshot_revision + every;
        if !has_grown || !self.is_first_watcher() {
            return None;
        }
        let delay = self.cfg.snapshot_jitter.mul_f64(self.rng.random_range(0.0..1.0));
        if now < *self.service.next_snapshot.get_or_insert(now + delay) {
            return None;
        }
        self.service.next_snapshot = None;
        self.service.snapshot_revision = self.settings.revision();
        Some(Action::WriteSnapshot { tree: self.settings.tree().clone(), ahead: every / 2 })
    }

    pub(super) fn on_settings_read(
        &mut self,
        now: Instant,
        sent: Instant,
        result: Result<SettingsRead, ServiceUnavailable>,
    ) -> Vec<Action> {
        self.service.reading = false;
        let Ok(read) = result else {
            self.on_service_unavailable(now);
            return Vec::new();
        };
        self.service.backoff = Duration::ZERO;
        self.service.next_read = now + self.jittered(self.cfg.log_read_interval);
        match read {
            SettingsRead::Compacted => {
                self.service.is_compacted = true;
                self.service.next_read = now;
                Vec::new()
            }
            SettingsRead::Loaded { tree, records } => {
                self.service.is_compacted = false;
                self.service.snapshot_revision = tree.revision;
                self.settings.cancel_paged_load();
                self.settings.replace_tree(tree);
                self.settings.on_records(records);
                self.confirm_settings(sent);
                Vec::new()
            }
            SettingsRead::Page(page) => {
                self.settings.on_records(page.records);
                self.settings.mark_known();
                match page.more {
                    true => self.service.next_read = now,
                    false => self.confirm_settings(sent),
                }
                self.start_log_watch(page.service_revision)
            }
        }
    }

    fn confirm_settings(&mut self, sent: Instant) {
        let held = self.settings.revision();
        self.freshness.on_held(held);
        self.freshness.on_confirmed(sent, held, held);
    }

    fn start_log_watch(&mut self, service_revision: u64) -> Vec<Action> {
        if !self.is_watcher() || self.service.watching_log {
            return Vec::new();
        }
        self.service.watching_log = true;
        vec![Action::WatchLog { from: service_revision + 1 }]
    }

    /// Records an unreachable service: reports it for this zone and backs off.
    fn on_service_unavailable(&mut self, now: Instant) {
        let zone = self.local_peer.zone.clone();
        self.freshness.on_down_report(&zone, now);
        let doubled = (self.service.backoff * 2).max(MIN_BACKOFF);
        let longest = if self.is_watcher() { MIN_BACKOFF } else { self.cfg.max_backoff };
        self.service.backoff = doubled.min(longest);
        self.service.next_read = now + self.jittered(self.service.backoff);
    }

    pub(super) fn on_members_read(
        &mut self,
        now: Instant,
        result: Result<MemberRead, ServiceUnavailable>,
    ) -> Vec<Action> {
        self.service.reading_members = false;
        let Ok(MemberRead { version, members }) = result else {
            self.service.next_members = now + self.jittered(MIN_BACKOFF);
            return Vec::new();
        };
        let pause = match self.is_first_watcher() {
            true => self.cfg.member_list_interval,
            false => self.cfg.max_backoff,
        };
        self.service.next_members = now + self.jittered(pause);
        let is_changed = self.members.on_read(version, members);
        let mut actions = self.on_members_changed(now, is_changed);
        if self.is_first_watcher() && !self.service.watching_members {
            self.service.watching_members = true;
            actions.push(Action::WatchMembers { from: version + 1 });
        }
        actions
    }

    /// Updates the peers from a changed member table; registers again if this daemon is missing.
    pub(super) fn on_members_changed(&mut self, now: Instant, is_changed: bool) -> Vec<Action> {
        if !is_changed {
            return Vec::new();
        }
        let before = self.zones().cloned().collect();
        let members = self.members.members().cloned().collect();
        self.peer_selector.on_members(now, members);
        let after = self.zones().cloned().collect();
        self.lapsed_zones.on_members(now, &before, &after);
        let is_listed =
            self.members.get(&self.local_peer.daemon).is_some_and(|info| *info == self.local_peer);
        if !is_listed && self.service.registration.is_some() {
            self.service.next_registration = now;
        }
        Vec::new()
    }

    pub(super) fn on_registered(
        &mut self,
        now: Instant,
        result: Result<i64, ServiceUnavailable>,
    ) -> Vec<Action> {
        self.service.registering = false;
        self.service.registration = result.ok();
        let pause = match result {
            Ok(_) => self.cfg.member_keepalive_interval,
            Err(ServiceUnavailable) => MIN_BACKOFF * 2,
        };
        self.service.next_registration = now + self.jittered(pause);
        Vec::new()
    }

    pub(super) fn on_registration_renewed(
        &mut self,
        now: Instant,
        result: Result<bool, ServiceUnavailable>,
    ) -> Vec<Action> {
        self.service.registering = false;
        let pause = match result {
            Ok(true) => self.cfg.member_keepalive_interval,
            Ok(false) => {
                self.service.registration = None;
                Duration::ZERO
            }
            Err(ServiceUnavailable) => MIN_BACKOFF * 2,
        };
        self.service.next_registration = now + self.jittered(pause);
        Vec::new()
    }

    pub(super) fn on_campaigned(
        &mut self,
        now: Instant,
        slot: usize,
        result: Result<CampaignOutcome, ServiceUnavailable>,
    ) -> Vec<Action> {
        self.service.campaigning = false;
        match result {
            Ok(CampaignOutcome::Won(lease)) => {
                let local_daemon = self.local_peer.daemon.clone();
                self.slots.on_acquired(slot, lease);
                self.slots.on_holder(slot, &local_daemon, now);
                self.service.next_slot = now + self.jittered(self.cfg.slot_keepalive_interval);
                self.service.next_read = now;
                self.service.next_members = now;
            }
            Ok(CampaignOutcome::Held(daemon)) if slot < SLOTS => {
                self.slots.on_holder(slot, &daemon, now);
            }
            Ok(CampaignOutcome::Held(_)) => {}
            Err(ServiceUnavailable) => self.on_service_unavailable(now),
        }
        Vec::new()
    }

    pub(super) fn on_slot_renewed(
        &mut self,
        now: Instant,
        result: Result<bool, ServiceUnavailable>,
    ) -> Vec<Action> {
        self.service.renewing_slot = false;
        self.service.next_slot = now + self.jittered(self.cfg.slot_keepalive_interval);
        if result != Ok(false) {
            return Vec::new();
        }
        self.slots.on_lost();
        self.service.watching_log = false;
        self.service.watching_members = false;
        vec![Action::StopWatches]
    }

    pub(super) fn on_hosts_read(
        &mut self,
        now: Instant,
        list: Option<Vec<(HostId, bool)>>,
    ) -> Vec<Action> {
        self.service.reading_hosts = false;
        if let Some(list) = list {
            self.hosts.on_host_list(now, &list, self.cfg.host_return_delay);
        }
        Vec::new()
    }
}

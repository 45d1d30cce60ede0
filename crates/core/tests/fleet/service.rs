use cassiagw_core::{
    ids::{DaemonId, HostId, Revision},
    ledger::{LogPage, RawRecord},
    membership::{Action, CampaignOutcome, Event, MemberRead, PeerInfo, SettingsRead},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

/// Default of `GossipConfig::member_lease`.
const MEMBER_LEASE: Duration = Duration::from_secs(30);
/// Default of `GossipConfig::slot_lease`.
const SLOT_LEASE: Duration = Duration::from_secs(5);
/// Maximum number of records that one read of the log returns.
const PAGE_RECORDS: usize = 256;

/// Number of calls that the service answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    pub reads: u64,
    pub writes: u64,
    pub watch_answers: u64,
}

/// The parts of the key-value service that the replication state machine uses.
#[derive(Default)]
pub struct Service {
    pub counts: CallCounts,
    pub hosts: Vec<(HostId, bool)>,
    revision: u64,
    log: Vec<RawRecord>,
    last_lease: i64,
    leases: BTreeMap<i64, (Instant, Duration)>,
    members: BTreeMap<DaemonId, (PeerInfo, u64, i64)>,
    slots: BTreeMap<(String, usize), (DaemonId, i64)>,
    log_watches: BTreeMap<usize, usize>,
    member_watches: BTreeMap<usize, usize>,
    member_changes: Vec<(u64, MemberChange)>,
}

#[derive(Clone)]
enum MemberChange {
    Joined(PeerInfo),
    Left(DaemonId),
}

impl Service {
    pub fn head(&self) -> Revision {
        self.log.len() as u64
    }

    pub fn append(&mut self, value: Vec<u8>) -> RawRecord {
        self.counts.writes += 1;
        self.revision += 1;
        let record = RawRecord { revision: self.head() + 1, value: value.into() };
        self.log.push(record.clone());
        record
    }

    /// Removes expired leases and the registrations and slots that they hold.
    pub fn expire(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, (until, _))| *until <= now);
        let expired = expired.map(|(lease, _)| *lease).collect::<BTreeSet<_>>();
        if expired.is_empty() {
            return;
        }
        self.leases.retain(|lease, _| !expired.contains(lease));
        self.slots.retain(|_, (_, lease)| !expired.contains(lease));
        let removed = self.members.iter().filter(|(_, (_, _, lease))| expired.contains(lease));
        let removed = removed.map(|(daemon, _)| daemon.clone()).collect::<Vec<_>>();
        for daemon in removed {
            self.revision += 1;
            self.members.remove(&daemon);
            self.member_changes.push((self.revision, MemberChange::Left(daemon)));
        }
    }

    pub fn call(
        &mut self,
        now: Instant,
        index: usize,
        caller: &PeerInfo,
        action: Action,
    ) -> Option<Event> {
        let sent = now;
        Some(match action {
            Action::ReadLog { next } => {
                self.counts.reads += 1;
                let rest = self.log.get(next as usize - 1..).unwrap_or_default();
                let records = rest.iter().take(PAGE_RECORDS).cloned().collect::<Vec<_>>();
                let more = rest.len() > records.len();
                let page = LogPage { records, more, service_revision: self.revision };
                Event::SettingsRead { sent, result: Ok(SettingsRead::Page(page)) }
            }
            Action::LoadSettings => {
                // One read each of the snapshot head, the snapshot parts and the log.
                self.counts.reads += 3;
                let records = self.log.clone();
                let loaded = SettingsRead::Loaded { tree: Arc::default(), records };
                Event::SettingsRead { sent, result: Ok(loaded) }
            }
            Action::ReadMembers => {
                self.counts.reads += 1;
                let members = self.members.values();
                let members = members.map(|(info, changed, _)| (info.clone(), *changed)).collect();
                Event::MembersRead(Ok(MemberRead { version: self.revision, members }))
            }
            Action::Register => {
                self.counts.writes += 2;
                let lease = self.grant(now, MEMBER_LEASE);
                self.revision += 1;
                self.members.insert(caller.daemon.clone(), (caller.clone(), self.revision, lease));
                self.member_changes.push((self.revision, MemberChange::Joined(caller.clone())));
                Event::Registered(Ok(lease))
            }
            Action::RenewRegistration { lease } => {
                Event::RegistrationRenewed(Ok(self.renew(now, lease)))
            }
            Action::RenewSlot { lease } => Event::SlotRenewed(Ok(self.renew(now, lease))),
            Action::Campaign { slot } => {
                self.counts.writes += 2;
                let key = (caller.zone.to_string(), slot);
                let result = match self.slots.get(&key) {
                    Some((daemon, _)) => {
                        self.counts.writes += 1;
                        CampaignOutcome::Held(daemon.clone())
                    }
                    None => {
                        let lease = self.grant(now, SLOT_LEASE);
                        self.slots.insert(key, (caller.daemon.clone(), lease));
                        CampaignOutcome::Won(lease)
                    }
                };
                Event::Campaigned { slot, result: Ok(result) }
            }
            Action::WatchLog { .. } => {
                self.counts.reads += 1;
                self.log_watches.insert(index, self.log.len());
                return None;
            }
            Action::WatchMembers { from } => {
                self.counts.reads += 1;
                let seen = self.member_changes.partition_point(|(at, _)| *at < from);
                self.member_watches.insert(index, seen);
                return None;
            }
            Action::WriteSnapshot { .. } => {
                // Counted as one read of the snapshot head. Writing takes up to two head reads, ten
                // parts, the head and a compaction, but all watchers except the first only read the
                // head.
                self.counts.reads += 1;
                return None;
            }
            Action::ReadHosts | Action::Sync { .. } | Action::StopWatches => return None,
        })
    }

    /// Returns the records that each log watch has not delivered yet.
    pub fn take_log_records(&mut self) -> Vec<(usize, Vec<RawRecord>)> {
        let log = &self.log;
        let updates = self.log_watches.iter_mut().map(|(index, seen)| {
            let records = log[*seen..].to_vec();
            *seen = log.len();
            (*index, records)
        });
        let updates = updates.filter(|(_, records)| !records.is_empty()).collect::<Vec<_>>();
        self.counts.watch_answers += updates.len() as u64;
        updates
    }

    /// Returns the member changes that each member watch has not delivered yet.
    pub fn take_member_changes(&mut self) -> Vec<(usize, Event)> {
        let changes = &self.member_changes;
        let behind = self.member_watches.iter_mut().filter(|(_, seen)| **seen < changes.len());
        let updates = behind.map(|(index, seen)| {
            let event = member_changes_event(&changes[*seen..]);
            *seen = changes.len();
            (*index, event)
        });
        let updates = updates.collect::<Vec<_>>();
        self.counts.watch_answers += updates.len() as u64;
        updates
    }

    pub fn watchers(&self) -> Vec<usize> {
        self.log_watches.keys().chain(self.member_watches.keys()).copied().collect()
    }

    pub fn stop_watches(&mut self, index: usize) {
        self.log_watches.remove(&index);
        self.member_watches.remove(&index);
    }

    /// Number of watcher slots that are held.
    pub fn held_slots(&self) -> usize {
        self.slots.len()
    }

    fn grant(&mut self, now: Instant, ttl: Duration) -> i64 {
        self.last_lease += 1;
        let lease = self.last_lease;
        self.leases.insert(lease, (now + ttl, ttl));
        lease
    }

    fn renew(&mut self, now: Instant, lease: i64) -> bool {
        self.counts.writes += 1;
        match self.leases.get_mut(&lease) {
            Some((until, ttl)) => {
                *until = now + *ttl;
                true
            }
            None => false,
        }
    }
}

fn member_changes_event(changes: &[(u64, MemberChange)]) -> Event {
    let version = changes.last().map_or(0, |(at, _)| *at);
    let mut joined: Vec<(PeerInfo, u64)> = Vec::new();
    let mut left: Vec<DaemonId> = Vec::new();
    for (at, change) in changes {
        match change {
            MemberChange::Joined(info) => {
                left.retain(|daemon| *daemon != info.daemon);
                joined.push((info.clone(), *at));
            }
            MemberChange::Left(daemon) => {
                joined.retain(|(info, _)| info.daemon != *daemon);
                left.push(daemon.clone());
            }
        }
    }
    Event::MemberWatchUpdate { version, joined, left }
}

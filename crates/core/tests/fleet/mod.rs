//! Simulates many daemons' replication state machines and their key-value service in virtual time.
#![allow(dead_code)]

mod service;

pub use service::Service;

use cassiagw_core::{
    ids::Revision,
    ledger::{AppendId, Record},
    membership::{
        Action, Event, Gossip, GossipConfig, PeerInfo, ServiceUnavailable, SyncDigest, encode,
    },
    settings::{Change, Edit},
};
use serde_json::json;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// One-way message delay within a region.
const INTRA_REGION_DELAY: Duration = Duration::from_micros(500);
/// One-way message delay between regions.
const INTER_REGION_DELAY: Duration = Duration::from_millis(20);
/// Latency of a call to the service within its region.
const SERVICE_LATENCY: Duration = Duration::from_millis(3);
/// Timeout of a daemon's request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a daemon's call to the service.
const SERVICE_TIMEOUT: Duration = Duration::from_millis(750);

/// Size and timing of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub regions: usize,
    pub zones_per_region: usize,
    pub daemons: usize,
    pub tick: Duration,
    pub seed: u64,
}

/// Failure mode of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    None,
    Refuse,
    Hang,
}

/// Messages and bytes that one daemon exchanged with peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

pub struct Daemon {
    pub gossip: Gossip,
    pub info: PeerInfo,
    pub region: usize,
    pub is_alive: bool,
    pub frozen_until: Option<Instant>,
    pub traffic: Traffic,
    pub incarnation: u64,
    pub highest_revision: Revision,
}

enum Delivery {
    Tick,
    Event(Event),
    Request(Request),
}

struct Request {
    from: PeerInfo,
    revision: Revision,
    digest: SyncDigest,
    sent: Instant,
    requester: usize,
}

pub struct Fleet {
    pub now: Instant,
    pub start: Instant,
    pub daemons: Vec<Daemon>,
    pub service: Service,
    pub outage: Outage,
    /// Whether each region is partitioned from all others.
    pub partitioned: Vec<bool>,
    /// When the edit of each revision was accepted; index 0 is the start of the simulation.
    pub accepted: Vec<Instant>,
    shape: Shape,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    deliveries: HashMap<u64, (usize, u64, Delivery)>,
    addresses: HashMap<SocketAddr, usize>,
    sequence: u64,
    next_append: u128,
    /// Size of a message without its payload, in bytes.
    pub overhead: fn(&PeerInfo) -> u64,
}

impl Fleet {
    pub fn new(shape: Shape) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            start: now,
            daemons: Vec::new(),
            service: Service::default(),
            outage: Outage::None,
            partitioned: vec![false; shape.regions],
            accepted: vec![now],
            shape,
            queue: BinaryHeap::new(),
            deliveries: HashMap::new(),
            addresses: HashMap::new(),
            sequence: 0,
            next_append: 0,
            overhead: |_| 0,
        };
        (0..shape.daemons).for_each(|_| fleet.add_daemon());
        fleet
    }

    /// Starts a daemon on a new host.
    pub fn add_daemon(&mut self) {
        let index = self.daemons.len();
        let zones = self.shape.regions * self.shape.zones_per_region;
        let zone = index % zones;
        let address = SocketAddr::from(([127, 0, (index >> 8) as u8, index as u8], 7_000));
        let info = PeerInfo {
            daemon: format!("entry-{index:05}").into(),
            boot: index as u64,
            zone: format!("zone-{zone:02}").into(),
            address,
            is_entry: true,
        };
        self.addresses.insert(address, index);
        self.daemons.push(Daemon {
            gossip: self.new_gossip(&info, index as u64),
            info,
            region: zone / self.shape.zones_per_region,
            is_alive: true,
            frozen_until: None,
            traffic: Traffic::default(),
            incarnation: 0,
            highest_revision: 0,
        });
        let stagger = Duration::from_micros(97 * (index as u64 % 1_000));
        self.schedule(index, stagger, Delivery::Tick);
    }

    fn new_gossip(&self, info: &PeerInfo, salt: u64) -> Gossip {
        let known = self.daemons.iter().filter(|daemon| daemon.is_alive).take(3);
        let bootstrap = known.map(|daemon| daemon.info.address).collect();
        let cfg = GossipConfig::default().with_bootstrap(bootstrap);
        Gossip::new(self.now, info.clone(), cfg, self.shape.seed ^ (salt << 20))
    }

    pub fn kill(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.is_alive = false;
        daemon.incarnation += 1;
        self.service.stop_watches(index);
    }

    /// Restarts a killed daemon with empty state.
    pub fn restart(&mut self, index: usize) {
        if self.daemons[index].is_alive {
            return;
        }
        let mut info = self.daemons[index].info.clone();
        info.boot += 1_000_000;
        let incarnation = self.daemons[index].incarnation;
        let gossip = self.new_gossip(&info, (index as u64) << 8 | incarnation);
        let daemon = &mut self.daemons[index];
        daemon.gossip = gossip;
        daemon.info = info;
        daemon.is_alive = true;
        daemon.highest_revision = 0;
        self.schedule(index, Duration::ZERO, Delivery::Tick);
    }

    /// Appends an edit by a daemon if it reaches the service and holds the newest settings.
    pub fn edit(&mut self, index: usize, change: Change) -> bool {
        self.service.expire(self.now);
        let daemon = &self.daemons[index];
        let base = daemon.gossip.tree().revision;
        let is_service_reachable =
            self.outage == Outage::None && self.reaches_service(daemon.region);
        let is_frozen = daemon.frozen_until.is_some();
        if !daemon.is_alive || is_frozen || !is_service_reachable || base != self.service.head() {
            return false;
        }
        self.next_append += 1;
        let edit = Edit { by: "operator".into(), at: 0, changes: vec![change] };
        let record = Record { id: AppendId(self.next_append), entries: vec![edit] };
        let record = self.service.append(record.encode());
        self.accepted.push(self.now);
        self.notify_log_watchers();
        self.deliver_event(index, Event::RecordsReceived(vec![record]));
        true
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let (index, incarnation, delivery) =
                self.deliveries.remove(&sequence).expect("queued delivery");
            self.deliver(index, incarnation, delivery);
        }
        self.now = end;
    }

    /// Returns whether a daemon may currently accept new work.
    pub fn is_current(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        daemon.is_alive && daemon.gossip.current_until().is_some_and(|until| self.now <= until)
    }

    fn deliver(&mut self, index: usize, incarnation: u64, delivery: Delivery) {
        let daemon = &self.daemons[index];
        if !daemon.is_alive || daemon.incarnation != incarnation {
            return;
        }
        if let Some(until) = daemon.frozen_until {
            if self.now < until {
                let wait = until - self.now;
                return self.schedule(index, wait, delivery);
            }
            self.daemons[index].frozen_until = None;
        }
        match delivery {
            Delivery::Tick => {
                self.schedule(index, self.shape.tick, Delivery::Tick);
                self.deliver_event(index, Event::Tick);
            }
            Delivery::Event(event) => self.deliver_event(index, event),
            Delivery::Request(req) => self.answer_sync(index, req),
        }
    }

    fn deliver_event(&mut self, index: usize, event: Event) {
        let actions = self.daemons[index].gossip.on_event(self.now, event);
        self.check_revision(index);
        actions.into_iter().for_each(|action| self.perform(index, action));
    }

    fn check_revision(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let revision = daemon.gossip.tree().revision;
        assert!(
            revision >= daemon.highest_revision,
            "{}: settings revision decreased",
            daemon.info.daemon
        );
        daemon.highest_revision = revision;
    }

    fn answer_sync(&mut self, index: usize, req: Request) {
        let Request { from, revision, digest, sent, requester } = req;
        let (held, delta, actions) =
            self.daemons[index].gossip.on_sync(self.now, &from, revision, &digest);
        actions.into_iter().for_each(|action| self.perform(index, action));
        let (a, b) = (self.daemons[index].region, self.daemons[requester].region);
        if !self.are_connected(a, b) || self.daemons[requester].info != from {
            return;
        }
        let to = self.daemons[index].info.address;
        self.count_message(index, requester, encode(&delta).len() as u64);
        let reply = Some((held, Box::new(delta)));
        self.schedule(
            requester,
            delay(a, b),
            Delivery::Event(Event::SyncReplied { to, sent, reply }),
        );
    }

    fn count_message(&mut self, from: usize, to: usize, payload: u64) {
        let bytes = payload + (self.overhead)(&self.daemons[from].info);
        for index in [from, to] {
            self.daemons[index].traffic.messages += 1;
            self.daemons[index].traffic.bytes += bytes;
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Sync { to, revision, digest } => self.send_sync(index, to, revision, digest),
            Action::ReadHosts => self.schedule(
                index,
                SERVICE_LATENCY,
                Delivery::Event(Event::HostsRead(Some(self.service.hosts.clone()))),
            ),
            Action::StopWatches => self.service.stop_watches(index),
            action => self.call_service(index, action),
        }
    }

    fn send_sync(&mut self, index: usize, to: SocketAddr, revision: Revision, digest: SyncDigest) {
        let sent = self.now;
        let target = self.addresses.get(&to).copied();
        let target = target.filter(|target| {
            let target = &self.daemons[*target];
            target.is_alive && self.are_connected(self.daemons[index].region, target.region)
        });
        let Some(target) = target else {
            let timeout_event = Event::SyncReplied { to, sent, reply: None };
            return self.schedule(index, PEER_TIMEOUT, Delivery::Event(timeout_event));
        };
        self.count_message(index, target, encode(&digest).len() as u64);
        let from = self.daemons[index].info.clone();
        let latency = delay(self.daemons[index].region, self.daemons[target].region);
        self.schedule(
            target,
            latency,
            Delivery::Request(Request { from, revision, digest, sent, requester: index }),
        );
    }

    fn call_service(&mut self, index: usize, action: Action) {
        let region = self.daemons[index].region;
        let latency =
            if region == 0 { SERVICE_LATENCY } else { SERVICE_LATENCY + INTER_REGION_DELAY * 2 };
        let is_unreachable = !self.reaches_service(region) || self.outage == Outage::Hang;
        let sent = self.now;
        if is_unreachable || self.outage == Outage::Refuse {
            let wait = if is_unreachable { SERVICE_TIMEOUT } else { INTRA_REGION_DELAY };
            if let Some(event) = failure_event(action, sent) {
                self.schedule(index, wait, Delivery::Event(event));
            }
            return;
        }
        self.service.expire(self.now);
        self.notify_member_watchers();
        let info = self.daemons[index].info.clone();
        if let Some(event) = self.service.call(self.now, index, &info, action) {
            self.schedule(index, latency, Delivery::Event(event));
        }
        self.notify_member_watchers();
    }

    fn notify_log_watchers(&mut self) {
        for (index, records) in self.service.take_log_records() {
            self.schedule(index, SERVICE_LATENCY, Delivery::Event(Event::LogWatchUpdate(records)));
        }
    }

    fn notify_member_watchers(&mut self) {
        for (index, event) in self.service.take_member_changes() {
            self.schedule(index, SERVICE_LATENCY, Delivery::Event(event));
        }
    }

    /// Starts or ends an outage of the service.
    pub fn set_outage(&mut self, outage: Outage) {
        self.outage = outage;
        if outage != Outage::None {
            self.service.watchers().into_iter().for_each(|index| self.end_watches(index));
        }
    }

    /// Partitions a region from all others, or reconnects it.
    pub fn set_partitioned(&mut self, region: usize, is_partitioned: bool) {
        self.partitioned[region] = is_partitioned;
        for index in self.service.watchers() {
            if !self.reaches_service(self.daemons[index].region) {
                self.end_watches(index);
            }
        }
    }

    fn end_watches(&mut self, index: usize) {
        self.service.stop_watches(index);
        self.schedule(index, INTRA_REGION_DELAY, Delivery::Event(Event::LogWatchEnded));
        self.schedule(index, INTRA_REGION_DELAY, Delivery::Event(Event::MemberWatchEnded));
    }

    fn reaches_service(&self, region: usize) -> bool {
        self.are_connected(region, 0)
    }

    fn are_connected(&self, a: usize, b: usize) -> bool {
        a == b || !(self.partitioned[a] || self.partitioned[b])
    }

    fn schedule(&mut self, index: usize, wait: Duration, delivery: Delivery) {
        self.sequence += 1;
        let incarnation = self.daemons[index].incarnation;
        self.deliveries.insert(self.sequence, (index, incarnation, delivery));
        self.queue.push(Reverse((self.now + wait, self.sequence)));
    }
}

fn delay(a: usize, b: usize) -> Duration {
    if a == b { INTRA_REGION_DELAY } else { INTER_REGION_DELAY }
}

fn failure_event(action: Action, sent: Instant) -> Option<Event> {
    Some(match action {
        Action::ReadLog { .. } | Action::LoadSettings => {
            Event::SettingsRead { sent, result: Err(ServiceUnavailable) }
        }
        Action::ReadMembers => Event::MembersRead(Err(ServiceUnavailable)),
        Action::Register => Event::Registered(Err(ServiceUnavailable)),
        Action::RenewRegistration { .. } => Event::RegistrationRenewed(Err(ServiceUnavailable)),
        Action::Campaign { slot } => Event::Campaigned { slot, result: Err(ServiceUnavailable) },
        Action::RenewSlot { .. } => Event::SlotRenewed(Err(ServiceUnavailable)),
        Action::WatchLog { .. } => Event::LogWatchEnded,
        Action::WatchMembers { .. } => Event::MemberWatchEnded,
        Action::ReadHosts
        | Action::Sync { .. }
        | Action::StopWatches
        | Action::WriteSnapshot { .. } => return None,
    })
}

/// Returns a change to the state of one of five zones.
pub fn zone_change(n: u64) -> Change {
    let state = if n.is_multiple_of(2) { "in" } else { "out" };
    Change::new(format!("zones/zone-{:02}", n % 5), json!({ "region": "r1", "state": state }))
}

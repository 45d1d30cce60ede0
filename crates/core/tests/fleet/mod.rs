//! Simulates many daemons' replication state machines and their key-value service in virtual time.
#![allow(dead_code)]

mod service;

pub use service::Service;

use cassiagw_core::{
    ids::Revision,
    ledger::{AppendId, Record},
    membership::{Action, Event, PeerInfo, Probe, ServiceDown, Spread, SpreadConfig, encode},
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
const NEAR: Duration = Duration::from_micros(500);
/// One-way message delay between regions.
const FAR: Duration = Duration::from_millis(20);
/// Latency of a call to the service within its region.
const SERVICE: Duration = Duration::from_millis(3);
/// Timeout of a daemon's request to a peer.
const PEER_LIMIT: Duration = Duration::from_secs(1);
/// Timeout of a daemon's call to the service.
const SERVICE_LIMIT: Duration = Duration::from_millis(750);

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
    No,
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
    pub spread: Spread,
    pub info: PeerInfo,
    pub region: usize,
    pub is_alive: bool,
    pub frozen_until: Option<Instant>,
    pub traffic: Traffic,
    pub life: u64,
    pub highest: Revision,
}

enum Item {
    Tick,
    Event(Event),
    Request(Request),
}

struct Request {
    from: PeerInfo,
    revision: Revision,
    probe: Probe,
    sent: Instant,
    asker: usize,
}

pub struct Fleet {
    pub now: Instant,
    pub start: Instant,
    pub daemons: Vec<Daemon>,
    pub service: Service,
    pub outage: Outage,
    /// Whether each region is partitioned from all others.
    pub cut: Vec<bool>,
    pub accepted: Vec<Instant>,
    shape: Shape,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    items: HashMap<u64, (usize, u64, Item)>,
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
            outage: Outage::No,
            cut: vec![false; shape.regions],
            accepted: vec![now],
            shape,
            queue: BinaryHeap::new(),
            items: HashMap::new(),
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
            spread: self.new_spread(&info, index as u64),
            info,
            region: zone / self.shape.zones_per_region,
            is_alive: true,
            frozen_until: None,
            traffic: Traffic::default(),
            life: 0,
            highest: 0,
        });
        let spread = Duration::from_micros(97 * (index as u64 % 1_000));
        self.push(index, spread, Item::Tick);
    }

    fn new_spread(&self, info: &PeerInfo, salt: u64) -> Spread {
        let known = self.daemons.iter().filter(|daemon| daemon.is_alive).take(3);
        let bootstrap = known.map(|daemon| daemon.info.address).collect();
        let cfg = SpreadConfig::default().with_bootstrap(bootstrap);
        Spread::new(self.now, info.clone(), cfg, self.shape.seed ^ (salt << 20))
    }

    pub fn kill(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.is_alive = false;
        daemon.life += 1;
        self.service.stop_watches(index);
    }

    /// Restarts a killed daemon with empty state.
    pub fn restart(&mut self, index: usize) {
        if self.daemons[index].is_alive {
            return;
        }
        let mut info = self.daemons[index].info.clone();
        info.boot += 1_000_000;
        let life = self.daemons[index].life;
        let spread = self.new_spread(&info, (index as u64) << 8 | life);
        let daemon = &mut self.daemons[index];
        daemon.spread = spread;
        daemon.info = info;
        daemon.is_alive = true;
        daemon.highest = 0;
        self.push(index, Duration::ZERO, Item::Tick);
    }

    /// Appends an edit by a daemon if it reaches the service and holds the newest settings.
    pub fn edit(&mut self, index: usize, change: Change) -> bool {
        self.service.expire(self.now);
        let daemon = &self.daemons[index];
        let base = daemon.spread.tree().revision;
        let reaches = self.outage == Outage::No && self.reaches_service(daemon.region);
        let is_frozen = daemon.frozen_until.is_some();
        if !daemon.is_alive || is_frozen || !reaches || base != self.service.head() {
            return false;
        }
        self.next_append += 1;
        let edit = Edit { by: "operator".into(), at: 0, changes: vec![change] };
        let record = Record { id: AppendId(self.next_append), entries: vec![edit] };
        let record = self.service.append(record.encode());
        self.accepted.push(self.now);
        self.notify_log_watchers();
        self.feed(index, Event::Fed(vec![record]));
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
            let (index, life, item) = self.items.remove(&sequence).expect("a queued item");
            self.deliver(index, life, item);
        }
        self.now = end;
    }

    /// Returns whether a daemon may currently accept new work.
    pub fn is_current(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        daemon.is_alive && daemon.spread.current_until().is_some_and(|until| self.now <= until)
    }

    fn deliver(&mut self, index: usize, life: u64, item: Item) {
        let daemon = &self.daemons[index];
        if !daemon.is_alive || daemon.life != life {
            return;
        }
        if let Some(until) = daemon.frozen_until {
            if self.now < until {
                let wait = until - self.now;
                return self.push(index, wait, item);
            }
            self.daemons[index].frozen_until = None;
        }
        match item {
            Item::Tick => {
                self.push(index, self.shape.tick, Item::Tick);
                self.feed(index, Event::Tick);
            }
            Item::Event(event) => self.feed(index, event),
            Item::Request(req) => self.answer(index, req),
        }
    }

    fn feed(&mut self, index: usize, event: Event) {
        let actions = self.daemons[index].spread.on_event(self.now, event);
        self.check_revision(index);
        actions.into_iter().for_each(|action| self.perform(index, action));
    }

    fn check_revision(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let revision = daemon.spread.tree().revision;
        assert!(revision >= daemon.highest, "{} went back", daemon.info.daemon);
        daemon.highest = revision;
    }

    fn answer(&mut self, index: usize, req: Request) {
        let Request { from, revision, probe, sent, asker } = req;
        let (held, news, actions) =
            self.daemons[index].spread.on_sync(self.now, &from, revision, &probe);
        actions.into_iter().for_each(|action| self.perform(index, action));
        let (a, b) = (self.daemons[index].region, self.daemons[asker].region);
        if !self.connects(a, b) || self.daemons[asker].info != from {
            return;
        }
        let to = self.daemons[index].info.address;
        self.count(index, asker, encode(&news).len() as u64);
        let reply = Some((held, Box::new(news)));
        self.push(asker, delay(a, b), Item::Event(Event::SyncReplied { to, sent, reply }));
    }

    fn count(&mut self, from: usize, to: usize, payload: u64) {
        let bytes = payload + (self.overhead)(&self.daemons[from].info);
        for index in [from, to] {
            self.daemons[index].traffic.messages += 1;
            self.daemons[index].traffic.bytes += bytes;
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Sync { to, revision, probe } => self.send_sync(index, to, revision, probe),
            Action::ReadHosts => self.push(
                index,
                SERVICE,
                Item::Event(Event::HostsRead(Some(self.service.hosts.clone()))),
            ),
            Action::StopWatches => self.service.stop_watches(index),
            action => self.call_service(index, action),
        }
    }

    fn send_sync(&mut self, index: usize, to: SocketAddr, revision: Revision, probe: Probe) {
        let sent = self.now;
        let target = self.addresses.get(&to).copied();
        let target = target.filter(|target| {
            let target = &self.daemons[*target];
            target.is_alive && self.connects(self.daemons[index].region, target.region)
        });
        let Some(target) = target else {
            let silent = Event::SyncReplied { to, sent, reply: None };
            return self.push(index, PEER_LIMIT, Item::Event(silent));
        };
        self.count(index, target, encode(&probe).len() as u64);
        let from = self.daemons[index].info.clone();
        let way = delay(self.daemons[index].region, self.daemons[target].region);
        self.push(
            target,
            way,
            Item::Request(Request { from, revision, probe, sent, asker: index }),
        );
    }

    fn call_service(&mut self, index: usize, action: Action) {
        let region = self.daemons[index].region;
        let way = if region == 0 { SERVICE } else { SERVICE + FAR * 2 };
        let is_cut = !self.reaches_service(region) || self.outage == Outage::Hang;
        let sent = self.now;
        if is_cut || self.outage == Outage::Refuse {
            let wait = if is_cut { SERVICE_LIMIT } else { NEAR };
            if let Some(event) = failed(action, sent) {
                self.push(index, wait, Item::Event(event));
            }
            return;
        }
        self.service.expire(self.now);
        self.flush_member_watch();
        let info = self.daemons[index].info.clone();
        if let Some(event) = self.service.call(self.now, index, &info, action) {
            self.push(index, way, Item::Event(event));
        }
        self.flush_member_watch();
    }

    fn notify_log_watchers(&mut self) {
        for (index, records) in self.service.log_news() {
            self.push(index, SERVICE, Item::Event(Event::LogWatched(records)));
        }
    }

    fn flush_member_watch(&mut self) {
        for (index, event) in self.service.member_news() {
            self.push(index, SERVICE, Item::Event(event));
        }
    }

    /// Starts or ends an outage of the service.
    pub fn set_outage(&mut self, outage: Outage) {
        self.outage = outage;
        if outage != Outage::No {
            self.service.watchers().into_iter().for_each(|index| self.end_watches(index));
        }
    }

    /// Partitions a region from all others, or reconnects it.
    pub fn set_cut(&mut self, region: usize, is_cut: bool) {
        self.cut[region] = is_cut;
        for index in self.service.watchers() {
            if !self.reaches_service(self.daemons[index].region) {
                self.end_watches(index);
            }
        }
    }

    fn end_watches(&mut self, index: usize) {
        self.service.stop_watches(index);
        self.push(index, NEAR, Item::Event(Event::LogWatchEnded));
        self.push(index, NEAR, Item::Event(Event::MemberWatchEnded));
    }

    fn reaches_service(&self, region: usize) -> bool {
        self.connects(region, 0)
    }

    fn connects(&self, a: usize, b: usize) -> bool {
        a == b || !(self.cut[a] || self.cut[b])
    }

    fn push(&mut self, index: usize, wait: Duration, item: Item) {
        self.sequence += 1;
        let life = self.daemons[index].life;
        self.items.insert(self.sequence, (index, life, item));
        self.queue.push(Reverse((self.now + wait, self.sequence)));
    }
}

fn delay(a: usize, b: usize) -> Duration {
    if a == b { NEAR } else { FAR }
}

fn failed(action: Action, sent: Instant) -> Option<Event> {
    Some(match action {
        Action::ReadLog { .. } | Action::LoadSettings => {
            Event::SettingsRead { sent, result: Err(ServiceDown) }
        }
        Action::ReadMembers => Event::MembersRead(Err(ServiceDown)),
        Action::Register => Event::Registered(Err(ServiceDown)),
        Action::KeepRegistration { .. } => Event::RegistrationKept(Err(ServiceDown)),
        Action::Campaign { slot } => Event::Campaigned { slot, result: Err(ServiceDown) },
        Action::KeepSlot { .. } => Event::SlotKept(Err(ServiceDown)),
        Action::WatchLog { .. } => Event::LogWatchEnded,
        Action::WatchMembers { .. } => Event::MemberWatchEnded,
        Action::ReadHosts
        | Action::Sync { .. }
        | Action::StopWatches
        | Action::WriteSnapshot { .. } => return None,
    })
}

/// Returns a change to the state of one of five zones.
pub fn some_change(n: u64) -> Change {
    let state = if n.is_multiple_of(2) { "in" } else { "out" };
    Change::new(format!("zones/zone-{:02}", n % 5), json!({ "region": "r1", "state": state }))
}

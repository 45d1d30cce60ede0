//! Runs routing and admission against plain versions in virtual time and prints what callers saw.
//!
//! One line for each seed, question and policy. There are no sockets and no threads.

use cassiagw_core::{
    admission::{AdmissionConfig, AdmissionControl, Decision, Finished, RampConfig, Ticket},
    ids::{FastSet, PieceKey, ZoneId},
    membership::View,
    routing::{Answered, RouteDecision, RouteRequest, Router, RouterConfig},
    settings::{EndpointEntry, Priority, Tree, ZoneEntry, ZoneState},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

const SEEDS: u64 = 6;
const SLOTS: u32 = 16;
const PIECES: u32 = 8;
const PIECE_TOKENS: u32 = 1_000;
const PER_TOKEN: Duration = Duration::from_micros(100);
const DECODE: Duration = Duration::from_millis(500);
const CACHED_PROMPTS: usize = 40;
const ZONES: usize = 3;

/// What differs between two runs of one question.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// The cores as they are.
    Cassiagw,
    /// First come first served, no ramp at the endpoint; entries follow the prompt's hash.
    Plain,
    /// As plain, but each entry holds back on its own before a cold endpoint.
    RampPerEntry,
    /// As it is, but batch work always waits for interactive work.
    StrictPriority,
    /// As it is, but batch work may take every slot.
    NoReserve,
}

impl Policy {
    fn is_fair(self) -> bool {
        matches!(self, Self::Cassiagw | Self::StrictPriority | Self::NoReserve)
    }
}

struct Scenario {
    name: &'static str,
    endpoints: usize,
    entries: usize,
    /// Seconds of arrivals.
    seconds: u64,
    flows: Vec<Flow>,
    /// Second, and endpoints that turn cold or zones whose state changes.
    changes: Vec<(u64, Change)>,
}

#[derive(Clone, Copy)]
enum Change {
    Cold(usize),
    ZoneOut(usize),
    ZoneIn(usize),
}

/// Poisson arrivals of one workspace and priority.
#[derive(Clone, Copy)]
struct Flow {
    workspace: &'static str,
    priority: Priority,
    per_s: f64,
    prompts: u64,
    decode: Duration,
    time_left: Duration,
}

struct Request {
    flow: usize,
    prompt: u64,
    entry: usize,
    endpoint: usize,
    arrived: Duration,
    rank: Option<u8>,
    was_holder: bool,
    first_token: Duration,
    computed: u32,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(u128),
    Finish(u128),
    Change(usize),
}

/// An endpoint: its admission, its engine's cache and what its engine bears while cold.
struct Endpoint {
    admission: AdmissionControl,
    boot: u64,
    cache: VecDeque<u64>,
    cold_since: Option<Duration>,
    served: u32,
    running: u32,
}

#[derive(Default)]
struct Tally {
    first_tokens: BTreeMap<(usize, &'static str), Vec<Duration>>,
    refused: u32,
    expired: u32,
    late: u32,
    overload_cold: u32,
    late_zone_work: u32,
    /// Requests of the last phase, and those of them on endpoints of the first zone.
    last_phase: (u32, u32),
    computed: u64,
    prompt_tokens: u64,
}

struct Run<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    origin: Instant,
    rng: StdRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    endpoints: Vec<Endpoint>,
    routers: Vec<Router>,
    outstanding: BTreeMap<(usize, usize), u32>,
    zones_out: FastSet<usize>,
    requests: BTreeMap<u128, Request>,
    tally: Tally,
}

fn pieces(flow: usize, prompt: u64) -> Vec<PieceKey> {
    let key = |i: u32| blake3::hash(format!("{flow}/{prompt}/{i}").as_bytes());
    let piece = |i| PieceKey(key(i).as_bytes()[..16].try_into().expect("16 bytes"));
    (0..PIECES).map(piece).collect()
}

fn view(count: usize, out: &FastSet<usize>) -> View {
    let zone = |i: usize| {
        let state = if out.contains(&i) { ZoneState::Out } else { ZoneState::In };
        (ZoneId::from(format!("z{i}")), ZoneEntry { region: "r".into(), state })
    };
    let endpoint = |i: usize| EndpointEntry {
        host: format!("h{i}").into(),
        zone: format!("z{}", i % ZONES).into(),
        model: "m".into(),
        rpc: ([127, 0, 0, 1], 1).into(),
        checks_fencing: false,
    };
    let tree = Tree {
        zones: (0..ZONES).map(zone).collect(),
        endpoints: (0..count).map(|i| (format!("e{i}").into(), endpoint(i))).collect(),
        ..Tree::default()
    };
    View { tree: Arc::new(tree), is_current: true, ..View::default() }
}

/// Admission before an endpoint that has long been warm.
fn warm_admission(policy: Policy, now: Instant) -> AdmissionControl {
    let ramp = RampConfig {
        cold_limit: if policy.is_fair() { 2 } else { SLOTS },
        warm_limit: SLOTS,
        growth_permille: 500,
        min_warm_up: Duration::from_secs(2),
    };
    let mut fair = AdmissionConfig { ramp, ..AdmissionConfig::default() };
    if policy == Policy::NoReserve {
        fair.reserve_permille = 0;
    }
    if policy == Policy::StrictPriority {
        fair.max_passes = u32::MAX;
        fair.ageing = Duration::from_secs(1_000_000);
        fair.urgent_service_times = 0;
    }
    let plain = AdmissionConfig {
        max_waiting: 100_000,
        waiting_per_slot: 100_000,
        reserve_permille: 0,
        ..fair.clone()
    };
    let is_fair = policy.is_fair();
    let mut admission = AdmissionControl::new(if is_fair { fair } else { plain }, now);
    for id in 0..40 {
        let ticket = Ticket {
            id,
            workspace: "warm-up".into(),
            weight: 1,
            priority: Priority::Interactive,
            cost_tokens: 1,
            deadline: now + Duration::from_secs(1_000),
        };
        let _ = admission.offer(now, ticket);
        admission.poll(now);
        let served = Finished::Served { first_token: PER_TOKEN * 1_000, computed_tokens: 1_000 };
        admission.on_finished(now + DECODE, id, served);
    }
    admission
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let origin = Instant::now();
        let endpoint = |_| Endpoint {
            admission: warm_admission(policy, origin - Duration::from_secs(60)),
            boot: 1,
            cache: VecDeque::new(),
            cold_since: None,
            served: 0,
            running: 0,
        };
        let router = |entry: usize| {
            let mut router =
                Router::new(format!("z{}", entry % ZONES).into(), RouterConfig::default());
            router.set_view(&view(scenario.endpoints, &FastSet::default()));
            router
        };
        let mut run = Self {
            endpoints: (0..scenario.endpoints).map(endpoint).collect(),
            routers: (0..scenario.entries).map(router).collect(),
            scenario,
            policy,
            origin,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            outstanding: BTreeMap::new(),
            zones_out: FastSet::default(),
            requests: BTreeMap::new(),
            tally: Tally::default(),
        };
        run.schedule();
        run
    }

    fn schedule(&mut self) {
        let end = Duration::from_secs(self.scenario.seconds);
        for (flow, settings) in self.scenario.flows.iter().enumerate() {
            let mut at = Duration::ZERO;
            while at < end {
                let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
                at += Duration::from_secs_f64(-uniform.ln() / settings.per_s);
                let id = self.requests.len() as u128;
                let request = Request {
                    flow,
                    prompt: self.rng.random_range(0..settings.prompts),
                    entry: self.rng.random_range(0..self.scenario.entries),
                    endpoint: 0,
                    arrived: at,
                    rank: None,
                    was_holder: false,
                    first_token: Duration::ZERO,
                    computed: 0,
                };
                self.requests.insert(id, request);
                self.events.push(Reverse((at, Event::Arrive(id))));
            }
        }
        let changes = self.scenario.changes.iter().enumerate();
        let changes = changes.map(|(i, (at, _))| (Duration::from_secs(*at), Event::Change(i)));
        self.events.extend(changes.map(Reverse));
    }

    fn run(mut self) -> Tally {
        for endpoint in 0..self.endpoints.len() {
            (0..self.routers.len()).for_each(|entry| self.report(endpoint, entry));
        }
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive(id) => self.arrive(id),
                Event::Finish(id) => self.finish(id),
                Event::Change(index) => self.change(self.scenario.changes[index].1),
            }
        }
        self.tally
    }

    fn instant(&self) -> Instant {
        self.origin + self.now
    }

    fn arrive(&mut self, id: u128) {
        let mut tried = Vec::new();
        let sent = (0..4).any(|_| {
            let Some((endpoint, rank, was_holder)) = self.choose(id, &tried) else { return false };
            let is_taken = self.offer(id, endpoint, rank, was_holder);
            tried.push(format!("e{endpoint}").into());
            is_taken
        });
        self.tally.refused += u32::from(!sent);
    }

    fn choose(
        &mut self,
        id: u128,
        tried: &[cassiagw_core::ids::EndpointId],
    ) -> Option<(usize, Option<u8>, bool)> {
        let request = &self.requests[&id];
        let pieces = pieces(request.flow, request.prompt);
        if !self.policy.is_fair() {
            return self.choose_plain(request.entry, &pieces);
        }
        let req = RouteRequest {
            model: "m",
            pieces: &pieces,
            piece_tokens: PIECE_TOKENS,
            prompt_tokens: PIECES * PIECE_TOKENS,
            time_left: self.scenario.flows[request.flow].time_left,
            tried,
            ..RouteRequest::default()
        };
        let now = self.origin + self.now;
        match self.routers[request.entry].choose(now, &req, &mut self.rng) {
            RouteDecision::Send(choice) => {
                Some((choice.endpoint[1..].parse().ok()?, choice.rank, choice.was_holder))
            }
            RouteDecision::Refuse(_) => None,
        }
    }

    fn choose_plain(&self, entry: usize, pieces: &[PieceKey]) -> Option<(usize, Option<u8>, bool)> {
        let weight = |endpoint: &usize| {
            blake3::hash(&[&pieces[0].0[..], &endpoint.to_le_bytes()].concat()).to_hex()
        };
        let is_open = |endpoint: &usize| !self.zones_out.contains(&(endpoint % ZONES));
        let holds_back = |endpoint: &usize| {
            self.policy == Policy::RampPerEntry
                && self.endpoints[*endpoint].cold_since.is_some()
                && self.outstanding.get(&(entry, *endpoint)).is_some_and(|count| *count >= 1)
        };
        let open =
            (0..self.endpoints.len()).filter(is_open).filter(|endpoint| !holds_back(endpoint));
        open.min_by_key(weight).map(|endpoint| (endpoint, None, false))
    }

    fn offer(&mut self, id: u128, endpoint: usize, rank: Option<u8>, was_holder: bool) -> bool {
        let now = self.instant();
        let request = self.requests.get_mut(&id).expect("known");
        (request.endpoint, request.rank) = (endpoint, rank);
        request.was_holder = was_holder;
        let (flow, entry) = (self.scenario.flows[request.flow], request.entry);
        let is_fair = self.policy.is_fair();
        let ticket = Ticket {
            id,
            workspace: if is_fair { flow.workspace } else { "all" }.into(),
            weight: 1,
            priority: if is_fair { flow.priority } else { Priority::Interactive },
            cost_tokens: 1_000,
            deadline: if is_fair {
                now + flow.time_left
            } else {
                now + Duration::from_secs(100_000)
            },
        };
        let is_taken = self.endpoints[endpoint].admission.offer(now, ticket).is_ok();
        if is_taken {
            *self.outstanding.entry((entry, endpoint)).or_default() += 1;
            self.tally.late_zone_work += u32::from(self.zones_out.contains(&(endpoint % ZONES)));
            self.poll(endpoint);
        }
        self.report(endpoint, entry);
        is_taken
    }

    fn poll(&mut self, endpoint: usize) {
        let now = self.instant();
        for decision in self.endpoints[endpoint].admission.poll(now) {
            match decision {
                Decision::Start(id) => self.start(id, endpoint),
                Decision::Expire(id) => {
                    self.tally.expired += 1;
                    let entry = self.requests[&id].entry;
                    self.outstanding.entry((entry, endpoint)).and_modify(|count| *count -= 1);
                }
            }
        }
    }

    fn start(&mut self, id: u128, endpoint: usize) {
        let request = self.requests.get_mut(&id).expect("known");
        let flow = &self.scenario.flows[request.flow];
        let engine = &mut self.endpoints[endpoint];
        let key = request.prompt + ((request.flow as u64) << 32);
        let is_cached = engine.cache.contains(&key);
        engine.cache.retain(|known| *known != key);
        engine.cache.push_back(key);
        if engine.cache.len() > CACHED_PROMPTS {
            engine.cache.pop_front();
        }
        engine.running += 1;
        let slowdown = if engine.cold_since.is_some() { 1.5 } else { 1.0 };
        self.tally.overload_cold +=
            u32::from(engine.bears(self.now).is_some_and(|limit| engine.running > limit));
        request.computed = if is_cached { 0 } else { PIECES * PIECE_TOKENS };
        request.first_token = (PER_TOKEN * (request.computed + 200)).mul_f64(slowdown);
        let latency = self.now + request.first_token - request.arrived;
        let phase = self
            .scenario
            .changes
            .iter()
            .filter(|(at, _)| Duration::from_secs(*at) <= request.arrived)
            .count();
        if phase == self.scenario.changes.len() {
            self.tally.last_phase.0 += 1;
            self.tally.last_phase.1 += u32::from(endpoint.is_multiple_of(ZONES));
        }
        self.tally.first_tokens.entry((phase, flow.workspace)).or_default().push(latency);
        self.tally.computed += u64::from(request.computed);
        self.tally.prompt_tokens += u64::from(PIECES * PIECE_TOKENS);
        let end = self.now + request.first_token + flow.decode.mul_f64(slowdown);
        self.tally.late += u32::from(end > request.arrived + flow.time_left);
        self.events.push(Reverse((end, Event::Finish(id))));
    }

    fn finish(&mut self, id: u128) {
        let now = self.instant();
        let Request {
            endpoint, entry, flow, prompt, rank, was_holder, first_token, computed, ..
        } = self.requests[&id];
        let engine = &mut self.endpoints[endpoint];
        engine.running -= 1;
        engine.served += 1;
        engine.admission.on_finished(
            now,
            id,
            Finished::Served { first_token, computed_tokens: computed },
        );
        self.outstanding.entry((entry, endpoint)).and_modify(|count| *count -= 1);
        self.poll(endpoint);
        self.report(endpoint, entry);
        self.routers[entry].on_answered(Answered {
            endpoint: &format!("e{endpoint}"),
            pieces: &pieces(flow, prompt),
            prompt_tokens: PIECES * PIECE_TOKENS,
            reused_tokens: PIECES * PIECE_TOKENS - computed,
            rank,
            was_holder,
        });
    }

    fn report(&mut self, endpoint: usize, entry: usize) {
        let now = self.instant();
        let engine = &self.endpoints[endpoint];
        let load = engine.admission.load(now, engine.boot);
        self.routers[entry].on_load(&format!("e{endpoint}"), load, now);
    }

    fn change(&mut self, change: Change) {
        let count = self.endpoints.len();
        match change {
            Change::Cold(endpoint) => self.turn_cold(endpoint, false),
            Change::ZoneOut(zone) => drop(self.zones_out.insert(zone)),
            Change::ZoneIn(zone) => {
                self.zones_out.remove(&zone);
                (0..count)
                    .filter(|endpoint| endpoint % ZONES == zone)
                    .for_each(|endpoint| self.turn_cold(endpoint, true));
            }
        }
        let view = view(count, &self.zones_out);
        self.routers.iter_mut().for_each(|router| router.set_view(&view));
    }

    /// Restarts an engine with an empty cache; what ran on it goes on, as after a handover.
    fn turn_cold(&mut self, endpoint: usize, is_announced: bool) {
        let now = self.instant();
        let engine = &mut self.endpoints[endpoint];
        engine.cache.clear();
        engine.cold_since = Some(self.now);
        engine.served = 0;
        if is_announced {
            engine.boot += 1;
            engine.admission.on_cold(now);
        }
    }
}

impl Endpoint {
    /// Concurrent requests that a cold engine bears; none when warm.
    fn bears(&mut self, now: Duration) -> Option<u32> {
        let since = self.cold_since?;
        let limit = 2.0 + 0.5 * f64::from(self.served) + (now - since).as_secs_f64();
        if limit >= f64::from(SLOTS) {
            self.cold_since = None;
            return None;
        }
        Some(limit as u32)
    }
}

fn p95_ms(latencies: &mut [Duration]) -> u128 {
    latencies.sort_unstable();
    latencies.get(latencies.len() * 95 / 100).map_or(0, Duration::as_millis)
}

fn print(scenario: &Scenario, policy: Policy, seed: u64, mut tally: Tally) {
    let policy = match policy {
        Policy::Cassiagw => "cassiagw",
        Policy::Plain => "plain",
        Policy::RampPerEntry => "ramp_per_entry",
        Policy::StrictPriority => "strict_priority",
        Policy::NoReserve => "no_reserve",
    };
    let p95: Vec<String> = tally
        .first_tokens
        .iter_mut()
        .map(|((phase, workspace), latencies)| {
            format!("p95_ms_{workspace}_phase{phase}={}", p95_ms(latencies))
        })
        .collect();
    println!(
        "scenario={} policy={policy} seed={seed} {} refused={} expired={} late={} overload_cold={} late_zone_work={} recomputed={:.3} zone_share={:.3}",
        scenario.name,
        p95.join(" "),
        tally.refused,
        tally.expired,
        tally.late,
        tally.overload_cold,
        tally.late_zone_work,
        tally.computed as f64 / tally.prompt_tokens as f64,
        f64::from(tally.last_phase.1) / f64::from(tally.last_phase.0.max(1)),
    );
}

fn scenarios() -> Vec<Scenario> {
    let guide = Flow {
        workspace: "guide",
        priority: Priority::Interactive,
        per_s: 10.0,
        prompts: 30,
        decode: DECODE,
        time_left: Duration::from_secs(20),
    };
    let summary = Flow {
        workspace: "summary",
        priority: Priority::Batch,
        per_s: 1.5,
        prompts: 10,
        decode: Duration::from_secs(6),
        time_left: Duration::from_secs(60),
    };
    let big = Flow { workspace: "big", per_s: 40.0, ..guide };
    let small = Flow { workspace: "small", per_s: 2.0, ..guide };
    let fleet = Flow { workspace: "all", per_s: 60.0, prompts: 300, ..guide };
    let one = |name, flows| Scenario {
        name,
        endpoints: 1,
        entries: 1,
        seconds: 120,
        flows,
        changes: Vec::new(),
    };
    let zone_move = vec![
        (40, Change::ZoneOut(0)),
        (43, Change::ZoneOut(0)),
        (80, Change::ZoneIn(0)),
        (100, Change::ZoneOut(9)),
    ];
    let busy = Flow { per_s: 200.0, ..fleet };
    let urgent_summary = Flow { per_s: 0.6, time_left: Duration::from_secs(15), ..summary };
    let many_guides = Flow { per_s: 24.0, ..guide };
    vec![
        one("priority", vec![guide, summary]),
        one("deadline", vec![many_guides, urgent_summary]),
        one("big_neighbour", vec![small, big]),
        one("small_alone", vec![small]),
        Scenario {
            name: "zone_move",
            endpoints: 12,
            entries: 4,
            seconds: 120,
            flows: vec![fleet],
            changes: zone_move.clone(),
        },
        Scenario {
            name: "zone_move_busy",
            endpoints: 12,
            entries: 4,
            seconds: 120,
            flows: vec![busy],
            changes: zone_move,
        },
        Scenario {
            name: "cold_50_entries",
            endpoints: 12,
            entries: 50,
            seconds: 60,
            flows: vec![fleet],
            changes: vec![(20, Change::ZoneOut(0)), (22, Change::ZoneIn(0))],
        },
        Scenario {
            name: "cold_unannounced",
            endpoints: 12,
            entries: 50,
            seconds: 60,
            flows: vec![fleet],
            changes: vec![(20, Change::Cold(0))],
        },
    ]
}

fn main() {
    for scenario in scenarios() {
        let policies = if scenario.endpoints == 1 {
            [Policy::Plain, Policy::StrictPriority, Policy::NoReserve, Policy::Cassiagw]
        } else {
            [Policy::Plain, Policy::RampPerEntry, Policy::NoReserve, Policy::Cassiagw]
        };
        for seed in 1..=SEEDS {
            for policy in policies {
                print(&scenario, policy, seed, Run::new(&scenario, policy, seed).run());
            }
        }
    }
}

use crate::{
    endpoint::{Endpoint, PER_TOKEN, warm_admission},
    scenario::{Change, Policy, Scenario},
    tally::Tally,
};
use cassiagw_core::{
    admission::{AdmissionRequest, Decision, RequestOutcome},
    ids::{EndpointId, FastSet, PieceKey, ZoneId},
    membership::View,
    routing::{CompletedRequest, RouteDecision, RouteRequest, Router, RouterConfig},
    settings::{EndpointEntry, Priority, Tree, ZoneEntry, ZoneState},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

/// Complete pieces per prompt. Another 200 tokens follow them, which are never cached.
const PIECES: u32 = 8;
const PIECE_TOKENS: u32 = 1_000;
/// Prompts that the cache of one engine holds.
const CACHED_PROMPTS: usize = 40;
const ZONES: usize = 3;

struct Request {
    flow: usize,
    prompt: u64,
    entry: usize,
    endpoint: usize,
    arrived: Duration,
    rank: Option<u8>,
    was_holder: bool,
    computed: u32,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(u128),
    FirstToken(u128),
    Finish(u128),
    Change(usize),
}
pub struct Run<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    origin: Instant,
    rng: StdRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    endpoints: Vec<Endpoint>,
    routers: Vec<Router>,
    /// Queued and running requests by entry and endpoint.
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
impl<'a> Run<'a> {
    pub fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let origin = Instant::now();
        let endpoint = |_| Endpoint {
            admission: warm_admission(policy, origin - Duration::from_secs(60)),
            boot: 1,
            cache: VecDeque::new(),
            cold_since: None,
            prefill_until: Duration::ZERO,
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

    pub fn run(mut self) -> Tally {
        for endpoint in 0..self.endpoints.len() {
            (0..self.routers.len()).for_each(|entry| self.report(endpoint, entry));
        }
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive(id) => self.arrive(id),
                Event::FirstToken(id) => self.first_token(id),
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
            let is_enqueued = self.enqueue(id, endpoint, rank, was_holder);
            tried.push(format!("e{endpoint}").into());
            is_enqueued
        });
        self.tally.refused += u32::from(!sent);
    }

    fn choose(&mut self, id: u128, tried: &[EndpointId]) -> Option<(usize, Option<u8>, bool)> {
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

    /// The open endpoint that is first in the prompt's rendezvous order.
    fn choose_plain(&self, entry: usize, pieces: &[PieceKey]) -> Option<(usize, Option<u8>, bool)> {
        let weight = |endpoint: &usize| {
            blake3::hash(&[&pieces[0].0[..], &endpoint.to_le_bytes()].concat()).to_hex()
        };
        let is_open = |endpoint: &usize| !self.zones_out.contains(&(endpoint % ZONES));
        let is_throttled = |endpoint: &usize| {
            self.policy == Policy::RampPerEntry
                && self.endpoints[*endpoint].cold_since.is_some()
                && self.outstanding.get(&(entry, *endpoint)).is_some_and(|count| *count >= 1)
        };
        let open =
            (0..self.endpoints.len()).filter(is_open).filter(|endpoint| !is_throttled(endpoint));
        open.min_by_key(weight).map(|endpoint| (endpoint, None, false))
    }

    fn enqueue(&mut self, id: u128, endpoint: usize, rank: Option<u8>, was_holder: bool) -> bool {
        let now = self.instant();
        let request = self.requests.get_mut(&id).expect("request is recorded");
        (request.endpoint, request.rank) = (endpoint, rank);
        request.was_holder = was_holder;
        let (flow, entry) = (self.scenario.flows[request.flow], request.entry);
        let is_fair = self.policy.is_fair();
        let key = request.prompt + ((request.flow as u64) << 32);
        let is_cached = self.endpoints[endpoint].cache.contains(&key);
        let prefill_tokens = 200 + if is_cached { 0 } else { PIECES * PIECE_TOKENS };
        let admission_request = AdmissionRequest {
            id,
            workspace: if is_fair { flow.workspace } else { "all" }.into(),
            weight: 1,
            priority: if is_fair { flow.priority } else { Priority::Interactive },
            cost_tokens: 1_000,
            prefill_tokens,
            deadline: if is_fair {
                now + flow.time_left
            } else {
                now + Duration::from_secs(100_000)
            },
        };
        let is_enqueued =
            self.endpoints[endpoint].admission.enqueue(now, admission_request).is_ok();
        if is_enqueued {
            *self.outstanding.entry((entry, endpoint)).or_default() += 1;
            self.tally.late_zone_work += u32::from(self.zones_out.contains(&(endpoint % ZONES)));
            self.poll(endpoint);
        }
        self.report(endpoint, entry);
        is_enqueued
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
        let request = self.requests.get_mut(&id).expect("request is recorded");
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
            u32::from(engine.cold_capacity(self.now).is_some_and(|limit| engine.running > limit));
        request.computed = if is_cached { 0 } else { PIECES * PIECE_TOKENS };
        // The engine prefills one prompt at a time.
        let prefill = (PER_TOKEN * (request.computed + 200)).mul_f64(slowdown);
        let first_token = engine.prefill_until.max(self.now) + prefill;
        engine.prefill_until = first_token;
        let latency = first_token - request.arrived;
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
        let end = first_token + flow.decode.mul_f64(slowdown);
        self.events.push(Reverse((first_token, Event::FirstToken(id))));
        self.tally.late += u32::from(end > request.arrived + flow.time_left);
        self.events.push(Reverse((end, Event::Finish(id))));
    }

    fn first_token(&mut self, id: u128) {
        let now = self.instant();
        let endpoint = self.requests[&id].endpoint;
        self.endpoints[endpoint].admission.on_first_token(now, id);
        self.poll(endpoint);
    }

    fn finish(&mut self, id: u128) {
        let now = self.instant();
        let Request { endpoint, entry, flow, prompt, rank, was_holder, computed, .. } =
            self.requests[&id];
        let engine = &mut self.endpoints[endpoint];
        engine.running -= 1;
        engine.served += 1;
        engine.admission.on_finished(now, id, RequestOutcome::Served { computed_tokens: computed });
        self.outstanding.entry((entry, endpoint)).and_modify(|count| *count -= 1);
        self.poll(endpoint);
        self.report(endpoint, entry);
        self.routers[entry].on_completed(CompletedRequest {
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

    /// Restarts an engine with an empty cache; its running requests continue, as after a handover.
    /// Unless the restart is announced, the daemon and the entries get no notice of it.
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

//! Plain calls of many daemons that choose endpoints from answers of some age, played without a
//! network against the choice of few daemons and against one with perfect information.

use super::support::{entry, plain_request, plain_service};
use cassiagw_core::forwarding::{
    DaemonRanks, EndpointEntry, EndpointTable, Pick, PickRequest, Picked,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

const SLOTS: usize = 6;
/// Calls before this time are not counted.
const START_MS: f64 = 1_000.0;
/// Mean time of a call's work at the usual speed.
const MEAN_WORK_MS: f64 = 37.5;
/// Mean factor on that time where speeds change.
const MEAN_SLOWNESS: f64 = 1.3;
const SEEDS: [u64; 3] = [1, 2, 3];

/// How endpoints are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Choice {
    /// As by few daemons, without the speed of endpoints.
    Few,
    Built,
    Perfect,
}

#[derive(Clone, Copy)]
struct Case {
    daemons: usize,
    endpoints: usize,
    /// Fraction of the capacity that is used.
    used: f64,
    /// Age of what an answer says when it arrives.
    age_ms: f64,
    has_speeds: bool,
    length_ms: f64,
    /// Part of the way from the choice of few daemons to the perfect one that is asserted, in the
    /// 99th percentile of the waits. It is below what a run shows, since rounding differs between
    /// processors and changes the course of a play; below zero where the information is too old to
    /// be of use, so that both choices are the same but for chance.
    min_gain: f64,
}

#[derive(Debug, Default)]
struct Figures {
    p99_wait_ms: f64,
    mean_wait_ms: f64,
    /// Mean over time of the highest load, relative to the mean load.
    peak: f64,
    /// Fraction of the time in which an endpoint has free slots while calls wait at another.
    unfair: f64,
}

struct Call {
    daemon: usize,
    sent_ms: f64,
    work_ms: f64,
    picked: Picked,
}

#[derive(Default)]
struct Endpoint {
    running: usize,
    queue: VecDeque<usize>,
    slowness: f64,
}

impl Endpoint {
    fn load(&self) -> usize {
        self.running + self.queue.len()
    }
}

/// What an answer says.
struct Answer {
    daemon: usize,
    endpoint: usize,
    running: u32,
    waiting: u32,
    slowness: f64,
}

enum Event {
    Call,
    Done { endpoint: usize, call: usize },
    Answer(Answer),
    Speed(usize),
}

struct Play {
    case: Case,
    choice: Choice,
    rng: StdRng,
    start: Instant,
    now_ms: f64,
    entries: Vec<EndpointEntry>,
    tables: Vec<EndpointTable>,
    endpoints: Vec<Endpoint>,
    calls: Vec<Call>,
    /// By time in nanoseconds and a serial number.
    events: BTreeMap<(u64, u64), Event>,
    serial: u64,
    waits: Vec<f64>,
}

impl Play {
    fn new(case: Case, choice: Choice, seed: u64) -> Self {
        let start = Instant::now();
        let name = |number| format!("e{number}");
        let entries = (0..case.endpoints).map(|at| entry(&name(at), &plain_service(), "z0"));
        let entries: Vec<EndpointEntry> = entries.collect();
        let others: Vec<String> = (1..case.daemons).map(|number| format!("d{number}")).collect();
        let table = || {
            let mut table = EndpointTable::new("z0".into());
            entries.iter().for_each(|entry| table.insert(start, entry.clone()));
            if choice == Choice::Built {
                table.set_daemons(DaemonRanks::new("d0", others.iter().map(String::as_str)));
            }
            table
        };
        let endpoint = || Endpoint { slowness: 1.0, ..Endpoint::default() };
        let mut play = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0.0,
            tables: (0..case.daemons).map(|_| table()).collect(),
            endpoints: (0..case.endpoints).map(|_| endpoint()).collect(),
            calls: Vec::new(),
            events: BTreeMap::new(),
            serial: 0,
            waits: Vec::new(),
            case,
            choice,
            start,
            entries,
        };
        play.push(0.0, Event::Call);
        let speeds = if case.has_speeds { 0..case.endpoints } else { 0..0 };
        speeds.for_each(|endpoint| play.push(0.0, Event::Speed(endpoint)));
        play
    }

    fn push(&mut self, after_ms: f64, event: Event) {
        let at = ((self.now_ms + after_ms) * 1e6) as u64;
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    fn at(&self, ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(ms.max(0.0) / 1e3)
    }

    fn run(mut self) -> Figures {
        let mut figures = Figures::default();
        let counted_ms = self.case.length_ms - START_MS;
        while let Some(((at, _), event)) = self.events.pop_first() {
            let before_ms = std::mem::replace(&mut self.now_ms, at as f64 / 1e6);
            if self.now_ms > self.case.length_ms {
                break;
            }
            let part =
                if before_ms < START_MS { 0.0 } else { (self.now_ms - before_ms) / counted_ms };
            let has_queue = self.endpoints.iter().any(|endpoint| !endpoint.queue.is_empty());
            let has_free = self.endpoints.iter().any(|endpoint| endpoint.running < SLOTS);
            figures.unfair += if has_queue && has_free { part } else { 0.0 };
            let sum: usize = self.endpoints.iter().map(Endpoint::load).sum();
            let highest = self.endpoints.iter().map(Endpoint::load).max().unwrap_or_default();
            figures.peak += part * (highest * self.case.endpoints) as f64 / sum.max(1) as f64;
            match event {
                Event::Call => self.send(),
                Event::Done { endpoint, call } => self.end(endpoint, call),
                Event::Answer(answer) => self.hear(&answer),
                Event::Speed(endpoint) => self.change_speed(endpoint),
            }
        }
        self.waits.sort_by(f64::total_cmp);
        figures.p99_wait_ms = self.waits[self.waits.len() * 99 / 100];
        figures.mean_wait_ms = self.waits.iter().sum::<f64>() / self.waits.len() as f64;
        figures
    }

    /// Sends a call; daemons get calls unevenly.
    fn send(&mut self) {
        let Case { daemons, endpoints, used, has_speeds, .. } = self.case;
        let work_ms = MEAN_WORK_MS * if has_speeds { MEAN_SLOWNESS } else { 1.0 };
        let per_ms = used * (endpoints * SLOTS) as f64 / work_ms;
        let next_ms = -(1.0 - self.rng.random::<f64>()).ln() / per_ms;
        self.push(next_ms, Event::Call);
        let daemon = (self.rng.random::<f64>().powf(1.4) * daemons as f64) as usize;
        let service = plain_service();
        let tie_breaker = self.rng.random();
        let req = PickRequest { tie_breaker, ..plain_request(&service) };
        let now = self.at(self.now_ms);
        let Pick::Endpoint(mut picked) = self.tables[daemon].pick(now, &req) else {
            panic!("plain endpoints have room")
        };
        if self.choice == Choice::Perfect {
            picked.entry = self.entries[self.best()].clone();
        }
        self.tables[daemon].on_sent(now, &picked, &req);
        let at = self.entries.iter().position(|entry| entry.id == picked.entry.id);
        let at = at.expect("a known endpoint");
        let work_ms = self.rng.random_range(15.0..60.0);
        self.calls.push(Call { daemon, sent_ms: self.now_ms, work_ms, picked: *picked });
        self.endpoints[at].queue.push_back(self.calls.len() - 1);
        self.start_next(at);
    }

    /// The endpoint with the least load in relation to its speed.
    fn best(&self) -> usize {
        let cost = |at: &usize| {
            let endpoint = &self.endpoints[*at];
            endpoint.slowness * (endpoint.load() + 1) as f64
        };
        (0..self.endpoints.len()).min_by(|a, b| cost(a).total_cmp(&cost(b))).unwrap_or_default()
    }

    fn start_next(&mut self, at: usize) {
        let endpoint = &mut self.endpoints[at];
        if endpoint.running >= SLOTS {
            return;
        }
        let Some(call) = endpoint.queue.pop_front() else { return };
        endpoint.running += 1;
        let work_ms = self.calls[call].work_ms * endpoint.slowness;
        if self.now_ms >= START_MS {
            self.waits.push(self.now_ms - self.calls[call].sent_ms);
        }
        self.push(work_ms, Event::Done { endpoint: at, call });
    }

    fn end(&mut self, at: usize, call: usize) {
        let endpoint = &mut self.endpoints[at];
        let Call { daemon, sent_ms, .. } = self.calls[call];
        let (running, waiting) = (endpoint.running as u32, endpoint.queue.len() as u32);
        let slowness = endpoint.slowness;
        endpoint.running -= 1;
        self.start_next(at);
        let answer = Answer { daemon, endpoint: at, running, waiting, slowness };
        let time = Duration::from_secs_f64((self.now_ms - sent_ms) / 1e3);
        let picked = &self.calls[call].picked;
        self.tables[daemon].on_answer_started(&picked.entry.id, &picked.work, time);
        match self.case.age_ms == 0.0 {
            true => self.hear(&answer),
            false => self.push(self.case.age_ms, Event::Answer(answer)),
        }
        let picked = &self.calls[call].picked;
        self.tables[daemon].on_request_done(&picked.entry.id, &picked.work, true);
    }

    fn hear(&mut self, answer: &Answer) {
        let at = self.at(self.now_ms - self.case.age_ms);
        let entry = &self.entries[answer.endpoint];
        let table = &mut self.tables[answer.daemon];
        table.on_answer(at, &entry.id, Some((answer.running, answer.waiting)));
        if self.case.has_speeds && self.choice == Choice::Built {
            table.on_work_time(at, entry, answer.slowness * 1e2);
        }
    }

    fn change_speed(&mut self, endpoint: usize) {
        let is_slow = self.rng.random_bool(0.25);
        let range = if is_slow { 1.5..3.0 } else { 0.7..1.3 };
        self.endpoints[endpoint].slowness = self.rng.random_range(range);
        let next_ms = self.rng.random_range(150.0..500.0);
        self.push(next_ms, Event::Speed(endpoint));
    }
}

fn figures(case: Case, choice: Choice) -> Figures {
    let runs = SEEDS.map(|seed| Play::new(case, choice, seed).run());
    let mean =
        |figure: fn(&Figures) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
    Figures {
        p99_wait_ms: mean(|figures| figures.p99_wait_ms),
        mean_wait_ms: mean(|figures| figures.mean_wait_ms),
        peak: mean(|figures| figures.peak),
        unfair: mean(|figures| figures.unfair),
    }
}

const CASE: Case = Case {
    daemons: 48,
    endpoints: 4,
    used: 0.75,
    age_ms: 0.0,
    has_speeds: false,
    length_ms: 11_000.0,
    min_gain: 0.2,
};

const MANY: Case = Case { daemons: 580, endpoints: 12, length_ms: 6_000.0, ..CASE };

/// Guards against daemons that overload endpoints in turn, since all act on the same old load.
#[test]
fn calls_wait_less_than_with_the_choice_of_few_daemons() {
    let speeds = Case { used: 0.7, has_speeds: true, ..CASE };
    check(&[
        Case { daemons: 8, ..CASE },
        Case { daemons: 8, age_ms: 200.0, min_gain: 0.5, ..CASE },
        CASE,
        Case { age_ms: 100.0, min_gain: 0.5, ..CASE },
        Case { age_ms: 200.0, min_gain: 0.5, ..CASE },
        Case { age_ms: 700.0, ..CASE },
        Case { endpoints: 3, age_ms: 200.0, min_gain: 0.5, ..CASE },
        Case { daemons: 8, min_gain: 0.5, ..speeds },
        Case { min_gain: 0.5, ..speeds },
        Case { age_ms: 100.0, min_gain: 0.5, ..speeds },
        Case { age_ms: 200.0, min_gain: 0.5, ..speeds },
        Case { age_ms: 700.0, min_gain: 0.0, ..speeds },
        Case { used: 0.7, has_speeds: true, ..MANY },
    ]);
}

/// Guards against the same in a fleet so large that each daemon seldom hears of an endpoint. Half of
/// the way to perfect information is the target where information is 200 ms old.
#[test]
fn calls_of_a_large_fleet_wait_less_than_with_the_choice_of_few_daemons() {
    check(&[
        Case { age_ms: 200.0, min_gain: 0.5, ..MANY },
        Case { age_ms: 200.0, min_gain: 0.5, used: 0.7, has_speeds: true, ..MANY },
    ]);
}

fn check(cases: &[Case]) {
    for &case in cases {
        let [few, built, perfect] =
            [Choice::Few, Choice::Built, Choice::Perfect].map(|choice| figures(case, choice));
        let Case { daemons, endpoints, age_ms, has_speeds, .. } = case;
        let gain = (few.p99_wait_ms - built.p99_wait_ms) / (few.p99_wait_ms - perfect.p99_wait_ms);
        let name = format!("{daemons} daemons, {endpoints} endpoints, {age_ms} ms, {has_speeds}");
        println!("{name}: {gain:.2}\n  {few:.2?}\n  {built:.2?}\n  {perfect:.2?}");
        assert!(gain >= case.min_gain, "{name}: {gain:.2} of the way: {few:?} {built:?}");
    }
}

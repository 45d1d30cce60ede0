//! Whole requests that crash every endpoint which runs them, and requests like them that do not.

use super::quarantine::crashed_run;
use cassiagw_core::forwarding::{
    CrashedRun, PartHash, PartQuarantine, QuarantineReport, RequestIdentity, SuspectKind,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::{Duration, Instant};

const DEADLY: PartHash = 1;
/// A harmless request that many callers of one workspace send.
const POPULAR: PartHash = 2;
/// Hashes of deadly requests are those from [`DEADLY`] on, this far apart.
const DEADLY_STEP: PartHash = 10;
/// Hashes of other requests begin here.
const HARMLESS: PartHash = 1_000;

/// What a daemon learns, in order.
enum Step {
    /// The request with this ID ended when an endpoint crashed; it is the deadly one.
    Crash(&'static str, u64),
    /// A request that comes once ended when an endpoint crashed.
    Other(&'static str, u64),
    /// The deadly request was answered.
    Survival,
    Pause(u64),
}

use Step::{Crash, Other, Pause, Survival};

struct Case {
    name: &'static str,
    steps: &'static [Step],
    forbids_retry: bool,
    is_quarantined: bool,
}

const CASES: [Case; 7] = [
    Case {
        name: "one crash is no more than a crash",
        steps: &[Crash("a", 1), Pause(900)],
        forbids_retry: false,
        is_quarantined: false,
    },
    Case {
        name: "a request that was sent again and met another crash is not sent a third time",
        steps: &[Crash("a", 1), Pause(35), Crash("b", 1), Pause(900)],
        forbids_retry: true,
        is_quarantined: false,
    },
    Case {
        name: "the third crash, when it has come again",
        steps: &[Crash("a", 1), Pause(35), Crash("b", 1), Pause(300), Crash("c", 2)],
        forbids_retry: true,
        is_quarantined: true,
    },
    Case {
        name: "three at the same time",
        steps: &[Crash("a", 1), Crash("b", 2), Crash("c", 3), Pause(300)],
        forbids_retry: true,
        is_quarantined: true,
    },
    Case {
        name: "a rack fails in which it runs at three endpoints",
        steps: &[Crash("a", 1), Crash("b", 2), Crash("c", 3), Other("d", 9), Pause(300)],
        forbids_retry: false,
        is_quarantined: false,
    },
    Case {
        name: "a single sending proves nothing",
        steps: &[Crash("a", 1), Pause(60), Crash("b", 1), Pause(60), Crash("c", 1), Pause(300)],
        forbids_retry: true,
        is_quarantined: false,
    },
    Case {
        name: "it is answered after all",
        steps: &[
            Crash("a", 1),
            Pause(100),
            Crash("b", 2),
            Survival,
            Pause(100),
            Crash("c", 3),
            Pause(300),
        ],
        forbids_retry: false,
        is_quarantined: false,
    },
];

/// A run of a whole request that ended when an endpoint crashed.
pub fn ended(endpoint: &str, request: u64, whole: PartHash) -> CrashedRun {
    CrashedRun { whole, has_begun: false, ..crashed_run(endpoint, request, "w", &[]) }
}

#[test]
fn requests_are_convicted_by_their_comings() {
    for case in CASES {
        let mut now = Instant::now();
        let mut quarantine = PartQuarantine::default();
        assert!(quarantine.is_idle());
        for step in case.steps {
            match step {
                Crash(endpoint, id) => {
                    quarantine.on_crash(now, ended(endpoint, *id, DEADLY), ["GET /thing"]);
                }
                Other(endpoint, id) => quarantine.on_crash(now, ended(endpoint, *id, 100 + id), []),
                Survival => drop(quarantine.on_survived(now, &[DEADLY])),
                Pause(ms) => now += Duration::from_millis(*ms),
            }
            quarantine.update(now);
        }
        let forbids_retry = quarantine.forbids_retry(now, &[DEADLY]);
        assert_eq!(forbids_retry, case.forbids_retry, "{}", case.name);
        let quarantined = quarantine.quarantined(now).map(|timed| timed.quarantined);
        let quarantined: Vec<_> =
            quarantined.map(|of| (of.part, of.kind, of.name, of.workspace)).collect();
        let deadly = (DEADLY, SuspectKind::Request, "GET /thing".to_owned(), Some("w".into()));
        let expected = if case.is_quarantined { vec![deadly] } else { Vec::new() };
        assert_eq!(quarantined, expected, "{}", case.name);
    }
}

#[test]
fn a_request_is_tried_again_twice_at_most() {
    let mut now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for (endpoint, id) in [("a", 1), ("b", 2), ("c", 3)] {
        quarantine.on_crash(now, ended(endpoint, id, DEADLY), []);
        now += Duration::from_millis(300);
        quarantine.update(now);
    }
    let mut trials = 0;
    for step in 0..599 {
        let at = now + Duration::from_secs(step);
        quarantine.update(at);
        if quarantine.find(at, "w", &[DEADLY], |_| true).is_none() {
            quarantine.on_sent(at, &[DEADLY]);
            trials += 1;
            quarantine.on_crash(at, ended("x", 100 + step, DEADLY), []);
        }
    }
    assert_eq!(trials, 2);
}

/// Fields of a request, and whether it is the same as the first.
#[test]
fn the_hash_of_a_request_tells_what_comes_again() {
    let first = RequestIdentity {
        workspace: "w",
        method: "POST",
        host: b"a.example",
        target: "/order?n=1",
        prompt: None,
        body: b"body",
    };
    let cases = [
        ("the same", first, true),
        ("the host in capitals", RequestIdentity { host: b"A.example", ..first }, true),
        ("another workspace", RequestIdentity { workspace: "v", ..first }, false),
        ("another method", RequestIdentity { method: "PUT", ..first }, false),
        ("another host", RequestIdentity { host: b"b.example", ..first }, false),
        ("another query", RequestIdentity { target: "/order?n=2", ..first }, false),
        ("another body", RequestIdentity { body: b"body2", ..first }, false),
        ("a border moved", RequestIdentity { target: "/order?n=1b", body: b"ody", ..first }, false),
    ];
    for (name, identity, is_same) in cases {
        assert_eq!(identity.hash() == first.hash(), is_same, "{name}");
    }
}

/// Load of a fleet of daemons in front of plain endpoints.
#[derive(Clone, Debug)]
struct Load {
    daemons: usize,
    endpoints: usize,
    requests_per_s: f64,
    /// Fraction of the requests that are deadly.
    share: f64,
    /// Number of different deadly requests.
    deadly: u64,
    /// Whether requests that met a crash are sent again.
    is_safe: bool,
    report_delay_ms: u64,
    lost_reports: f64,
    /// Crashes of other causes: every so many milliseconds, a third of the endpoints at once.
    other_crashes_ms: Option<u64>,
    seed: u64,
}

const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(15);
const RESTART: Duration = Duration::from_secs(3);
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Time from a crash to the decision whether its request is sent again.
const TELLING_TIME: Duration = Duration::from_millis(25);
const CONTACT: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Run {
    daemon: usize,
    endpoint: usize,
    id: u64,
    whole: PartHash,
    ends: Instant,
    is_retry: bool,
    is_on_probation: bool,
}

struct Fleet {
    load: Load,
    rng: StdRng,
    start: Instant,
    daemons: Vec<PartQuarantine>,
    endpoints: Vec<(Instant, u64)>,
    runs: Vec<Run>,
    /// Runs that met a crash and may be sent again, and when that is decided.
    retries: Vec<(Instant, Run)>,
    reports: Vec<(Instant, usize, Duration, QuarantineReport)>,
    requests: u64,
    crashes: Vec<Instant>,
    sent: Vec<Instant>,
    /// The popular request: when it came, and whether it was kept away.
    popular: Vec<(Instant, bool)>,
}

impl Fleet {
    fn play(load: Load, start: Instant) -> Self {
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(load.seed),
            start,
            daemons: (0..load.daemons).map(|_| PartQuarantine::default()).collect(),
            endpoints: vec![(start, 0); load.endpoints],
            runs: Vec::new(),
            retries: Vec::new(),
            reports: Vec::new(),
            requests: 0,
            crashes: Vec::new(),
            sent: Vec::new(),
            popular: Vec::new(),
            load,
        };
        let mut now = start;
        while now < start + LENGTH {
            now += STEP;
            fleet.step(now);
        }
        fleet
    }

    fn step(&mut self, now: Instant) {
        let per_step = self.load.requests_per_s * STEP.as_secs_f64();
        if self.rng.random_bool(per_step.min(1.0)) {
            self.request(now);
        }
        self.end_runs(now);
        let due: Vec<_> = self.retries.extract_if(.., |(at, _)| now >= *at).collect();
        for (_, run) in due {
            if !self.daemons[run.daemon].forbids_retry(now, &[run.whole]) {
                self.send(now, run.daemon, run.id, run.whole, true);
            }
        }
        self.exchange(now);
        if self.is_due(now, UPDATE_INTERVAL) {
            self.daemons.iter_mut().for_each(|daemon| drop(daemon.update(now)));
        }
    }

    fn request(&mut self, now: Instant) {
        self.requests += 1;
        let is_deadly = self.rng.random_bool(self.load.share);
        let is_popular = self.rng.random_bool(0.3);
        let whole = match (is_deadly, is_popular) {
            (true, _) => DEADLY + DEADLY_STEP * (self.requests % self.load.deadly),
            (false, true) => POPULAR,
            (false, false) => HARMLESS + self.requests,
        };
        let daemon = self.rng.random_range(0..self.daemons.len());
        self.send(now, daemon, self.requests, whole, false);
    }

    fn send(&mut self, now: Instant, daemon: usize, id: u64, whole: PartHash, is_retry: bool) {
        let makes_trials = |_| daemon == 0;
        let is_kept_away = self.daemons[daemon].find(now, "w", &[whole], makes_trials).is_some();
        if whole == POPULAR {
            self.popular.push((now, is_kept_away));
        }
        let up = (0..self.endpoints.len()).filter(|at| now >= self.endpoints[*at].0);
        let up: Vec<usize> = up.collect();
        if is_kept_away || self.daemons[daemon].must_wait(whole) || up.is_empty() {
            return;
        }
        self.daemons[daemon].on_sent(now, &[whole]);
        let endpoint = up[self.rng.random_range(0..up.len())];
        let ends = now + Duration::from_millis(self.rng.random_range(20..70));
        let is_on_probation = self.daemons[daemon].begin_probation(whole);
        self.runs.push(Run { daemon, endpoint, id, whole, ends, is_retry, is_on_probation });
        if is_deadly(whole) {
            self.sent.push(now);
        }
    }

    fn end_runs(&mut self, now: Instant) {
        let done: Vec<Run> = self.runs.extract_if(.., |run| now >= run.ends).collect();
        done.iter().for_each(|run| self.end_probation(run));
        let (deadly, answered): (Vec<Run>, Vec<Run>) =
            done.into_iter().partition(|run| is_deadly(run.whole));
        let mut crashed: Vec<usize> = deadly.iter().map(|run| run.endpoint).collect();
        crashed.sort_unstable();
        crashed.dedup();
        self.crashes.extend(crashed.iter().map(|_| now));
        for run in answered.into_iter().filter(|run| !crashed.contains(&run.endpoint)) {
            let daemon = &mut self.daemons[run.daemon];
            if daemon.is_suspect(run.whole) {
                daemon.on_survived(now, &[run.whole]);
            }
        }
        if let Some(ms) = self.load.other_crashes_ms
            && self.rng.random_bool(STEP.as_millis() as f64 / ms as f64)
        {
            crashed.extend((0..self.endpoints.len()).filter(|at| at % 3 == 0));
        }
        let mut lost = deadly;
        for endpoint in crashed {
            self.endpoints[endpoint].0 = now + RESTART;
            self.endpoints[endpoint].1 += 1;
            lost.extend(self.runs.extract_if(.., |run| run.endpoint == endpoint));
        }
        for run in lost {
            self.end_probation(&run);
            let boot = self.endpoints[run.endpoint].1;
            let ended = ended(&format!("e{}", run.endpoint), run.id, run.whole);
            self.daemons[run.daemon].on_crash(now, CrashedRun { boot, ..ended }, []);
            if self.load.is_safe && !run.is_retry {
                self.retries.push((now + TELLING_TIME, run));
            }
        }
    }

    fn end_probation(&mut self, run: &Run) {
        if run.is_on_probation {
            self.daemons[run.daemon].on_probation_end(run.whole);
        }
    }

    fn exchange(&mut self, now: Instant) {
        if self.is_due(now, REPORT_INTERVAL) {
            for from in 0..self.daemons.len() {
                let report = self.daemons[from].report(now);
                for to in (0..self.daemons.len()).filter(|to| *to != from) {
                    if !self.rng.random_bool(self.load.lost_reports) {
                        let delay = Duration::from_millis(self.load.report_delay_ms);
                        self.reports.push((now + delay, to, delay, report.clone()));
                    }
                }
            }
        }
        for (_, to, age, report) in self.reports.extract_if(.., |(at, ..)| now >= *at) {
            self.daemons[to].on_report(now, age, report);
        }
    }

    fn is_due(&self, now: Instant, interval: Duration) -> bool {
        (now - self.start).as_millis().is_multiple_of(interval.as_millis())
    }

    /// Times that the request was sent later than `CONTACT` after its third crash.
    fn sent_too_late(&self) -> usize {
        let Some(third) = self.crashes.get(2) else { return 0 };
        self.sent.iter().filter(|at| **at > *third + CONTACT).count()
    }

    /// Fraction of the popular requests that were kept away.
    fn popular_kept_away(&self) -> f64 {
        let kept_away = self.popular.iter().filter(|(_, is_kept_away)| *is_kept_away).count();
        kept_away as f64 / self.popular.len().max(1) as f64
    }
}

fn is_deadly(whole: PartHash) -> bool {
    whole < HARMLESS && whole != POPULAR
}

fn load() -> impl Strategy<Value = Load> {
    let sizes = (1..8_usize, 6..24_usize, 4.0..60.0_f64, 0.02..0.4_f64, any::<bool>());
    let reports = (0..60_u64, 0.0..0.2_f64);
    let others = prop::option::of(2_000..8_000_u64);
    (sizes, reports, others, any::<u64>()).prop_map(|(sizes, reports, other_crashes_ms, seed)| {
        let (daemons, endpoints, requests_per_s, share, is_safe) = sizes;
        let (report_delay_ms, lost_reports) = reports;
        Load {
            daemons,
            endpoints,
            requests_per_s,
            share,
            deadly: 1,
            is_safe,
            report_delay_ms,
            lost_reports,
            other_crashes_ms,
            seed,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// At most three sendings follow later than `CONTACT` after the third crash, and a harmless
    /// request that many send is served, also beside crashes of other causes.
    #[test]
    fn a_fleet_stops_a_request_that_crashes_endpoints_and_no_popular_one(load in load()) {
        let fleet = Fleet::play(load, Instant::now());
        prop_assert!(fleet.sent_too_late() <= 3, "{} sent too late", fleet.sent_too_late());
        let kept_away = fleet.popular_kept_away();
        prop_assert!(kept_away <= 0.2, "{kept_away} of the popular requests are kept away");
    }
}

/// With few requests at a time, as many endpoints end as it takes to tell, and one more.
#[test]
fn at_most_four_endpoints_end_under_one_request() {
    for seed in 0..40 {
        let load = Load {
            daemons: 4,
            endpoints: 8,
            requests_per_s: 10.0,
            share: 0.3,
            deadly: 1,
            is_safe: seed % 2 == 0,
            report_delay_ms: 10,
            lost_reports: 0.0,
            other_crashes_ms: None,
            seed,
        };
        let fleet = Fleet::play(load, Instant::now());
        assert!(fleet.crashes.len() <= 4, "seed {seed}: {} endpoints ended", fleet.crashes.len());
    }
}

/// A suspected request runs once at a time, and as often as it likes once it was answered.
#[test]
fn a_suspected_request_runs_once_at_a_time() {
    let now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    assert!(!quarantine.begin_probation(DEADLY), "nothing is suspected");
    quarantine.on_crash(now, ended("a", 1, DEADLY), []);
    assert!(!quarantine.must_wait(DEADLY), "none runs");
    assert!(quarantine.begin_probation(DEADLY));
    assert!(quarantine.must_wait(DEADLY) && !quarantine.must_wait(POPULAR));
    quarantine.on_probation_end(DEADLY);
    assert!(!quarantine.must_wait(DEADLY), "it has ended");
    assert!(quarantine.begin_probation(DEADLY));
    quarantine.on_survived(now + STEP, &[DEADLY]);
    assert!(!quarantine.must_wait(DEADLY), "it was answered");
}

/// Two deadly requests of one caller, which are most of the load of three endpoints: all endpoints end
/// before the first of them is found. Guards against more than three sendings that come too late.
#[test]
fn two_deadly_requests_of_one_caller_are_found_in_time() {
    const PLAYS: u64 = 100;
    let is_late = |seed: &u64| {
        let load = Load {
            daemons: 2 + *seed as usize % 5,
            endpoints: 3,
            requests_per_s: 40.0,
            share: 0.3,
            deadly: 2,
            is_safe: seed.is_multiple_of(2),
            report_delay_ms: 10,
            lost_reports: 0.0,
            other_crashes_ms: None,
            seed: *seed,
        };
        Fleet::play(load, Instant::now()).sent_too_late() > 3
    };
    let late = (0..PLAYS).filter(is_late).count();
    assert_eq!(late, 0, "more than three sendings came too late in {late} of {PLAYS} plays");
}

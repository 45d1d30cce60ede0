//! Requests that a version on trial gets from fleets of any size, load, restarts and information.

use super::rollout_fleet::LIMITS;
use cassiagw_core::{
    forwarding::{
        RolloutOrder, RolloutPhase, RolloutRecord, RolloutStatement, ServiceRollout, StorePosition,
    },
    ids::ServiceVersion,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    env,
    time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(12);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
struct Load {
    daemons: usize,
    requests_per_s: f64,
    /// How unequal the daemons' loads are: exponent of the share by rank.
    skew: f64,
    /// Restarts of each daemon in the time, on average.
    restarts: f64,
    /// Largest time after which a boot learns of the order and of the record.
    news_delay_ms: u64,
    /// Largest time that a report takes, and fraction of the reports that get lost.
    report_delay_ms: u64,
    lost_reports: f64,
    seed: u64,
}

struct Daemon {
    rollout: ServiceRollout,
    weight: f64,
    order_at: Instant,
    record_at: Instant,
    knows_order: bool,
    knows_record: bool,
}

struct Fleet {
    load: Load,
    rng: StdRng,
    start: Instant,
    daemons: Vec<Daemon>,
    reports: Vec<(Instant, usize, usize, RolloutStatement)>,
    sent: u64,
    exposed: u64,
}

impl Fleet {
    fn new(load: Load) -> Self {
        let start = Instant::now();
        let rng = StdRng::seed_from_u64(load.seed);
        let mut fleet = Self {
            load,
            rng,
            start,
            daemons: Vec::new(),
            reports: Vec::new(),
            sent: 0,
            exposed: 0,
        };
        for rank in 0..fleet.load.daemons {
            let weight = ((rank + 1) as f64).powf(-fleet.load.skew);
            let daemon = fleet.boot(rank, start, weight);
            fleet.daemons.push(daemon);
        }
        fleet
    }

    fn boot(&mut self, index: usize, now: Instant, weight: f64) -> Daemon {
        let name = format!("d{index}");
        let boot = self.rng.random();
        let rollout = ServiceRollout::new("s".into(), name.into(), boot, LIMITS);
        let order_at = now + self.delay(self.load.news_delay_ms);
        let record_at = order_at + self.delay(self.load.news_delay_ms);
        Daemon { rollout, weight, order_at, record_at, knows_order: false, knows_record: false }
    }

    fn delay(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..=max_ms))
    }

    fn play(&mut self) {
        let steps = LENGTH.as_millis() / STEP.as_millis();
        let total = self.daemons.iter().map(|daemon| daemon.weight).sum::<f64>();
        let restart = self.load.restarts / steps as f64;
        for step in 1..=steps {
            let now = self.start + STEP * step as u32;
            for index in 0..self.daemons.len() {
                if self.rng.random::<f64>() < restart {
                    let weight = self.daemons[index].weight;
                    self.daemons[index] = self.boot(index, now, weight);
                }
                self.daemons[index].learn(now);
                let rate = self.load.requests_per_s * self.daemons[index].weight / total;
                self.send(now, index, rate * STEP.as_secs_f64());
            }
            if (STEP * step as u32).as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
                self.report(now);
            }
            self.deliver(now);
        }
    }

    fn send(&mut self, now: Instant, index: usize, mut expected: f64) {
        while self.rng.random::<f64>() < expected {
            expected -= 1.0;
            let rollout = &mut self.daemons[index].rollout;
            let is_exposed = rollout.may_expose(now, true);
            rollout.on_sent(now, &version(is_exposed));
            self.sent += 1;
            self.exposed += u64::from(is_exposed);
        }
    }

    fn report(&mut self, now: Instant) {
        for from in 0..self.daemons.len() {
            let statement = self.daemons[from].rollout.statement();
            for to in (0..self.daemons.len()).filter(|&to| to != from) {
                if self.rng.random::<f64>() >= self.load.lost_reports {
                    let at = now + self.delay(self.load.report_delay_ms);
                    self.reports.push((at, from, to, statement.clone()));
                }
            }
        }
    }

    fn deliver(&mut self, now: Instant) {
        for (_, from, to, statement) in self.reports.extract_if(.., |(at, ..)| *at <= now) {
            let from = format!("d{from}").into();
            self.daemons[to].rollout.on_statement(now, from, statement);
        }
    }
}

impl Daemon {
    fn learn(&mut self, now: Instant) {
        if !self.knows_order && now >= self.order_at {
            self.knows_order = true;
            self.rollout.on_order(now, Some(order()));
        }
        if !self.knows_record && now >= self.record_at {
            self.knows_record = true;
            let RolloutOrder { written_at, target, .. } = order();
            let record = RolloutRecord::new(written_at, target, RolloutPhase::Trial, 1);
            self.rollout.on_record(now, record);
        }
    }
}

fn order() -> RolloutOrder {
    RolloutOrder { target: version(true), duration: LENGTH, written_at: StorePosition::new(1, 10) }
}

fn version(is_new: bool) -> ServiceVersion {
    if is_new { "v2".into() } else { "v1".into() }
}

fn load() -> impl Strategy<Value = Load> {
    (
        1..=48usize,
        prop_oneof![1.0..20.0f64, 20.0..400.0f64],
        0.0..2.0f64,
        prop_oneof![Just(0.0), 0.0..4.0f64],
        0..2_000u64,
        0..700u64,
        0.0..0.5f64,
        any::<u64>(),
    )
        .prop_map(|(daemons, requests_per_s, skew, restarts, news, reports, lost, seed)| {
            Load {
                daemons,
                requests_per_s,
                skew,
                restarts,
                news_delay_ms: news,
                report_delay_ms: reports,
                lost_reports: lost,
                seed,
            }
        })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(env_cases()))]

    /// Guards against a version on trial that gets more requests from all daemons together than
    /// permitted, for a whole duration without a verdict.
    #[test]
    fn exposure_stays_within_the_bound(load in load()) {
        let mut fleet = Fleet::new(load);
        fleet.play();
        let permitted = fleet.sent as f64 * LIMITS.expose_share + LIMITS.expose_slack as f64;
        prop_assert!(
            fleet.exposed as f64 <= permitted,
            "{} of {} requests, {permitted} permitted", fleet.exposed, fleet.sent
        );
    }
}

/// Guards against daemons with few requests each that never expose any, so that nothing is learnt.
#[test]
fn many_daemons_with_few_requests_expose_the_share() {
    let load = Load {
        daemons: 48,
        requests_per_s: 200.0,
        skew: 0.0,
        restarts: 0.0,
        news_delay_ms: 200,
        report_delay_ms: 200,
        lost_reports: 0.0,
        seed: 1,
    };
    let mut fleet = Fleet::new(load);
    fleet.play();
    let share = fleet.exposed as f64 / fleet.sent as f64;
    assert!((0.05..=0.1).contains(&share), "share {share} of {}", fleet.sent);
}

/// Guards against a daemon that exposes requests before it knows the record, or without a current
/// view.
#[test]
fn nothing_is_exposed_without_record_or_view() {
    struct Case {
        name: &'static str,
        has_record: bool,
        is_view_current: bool,
        exposes: bool,
    }
    let cases = [
        Case { name: "all known", has_record: true, is_view_current: true, exposes: true },
        Case { name: "no record", has_record: false, is_view_current: true, exposes: false },
        Case { name: "old view", has_record: true, is_view_current: false, exposes: false },
    ];
    for case in cases {
        let now = Instant::now();
        let mut rollout = ServiceRollout::new("s".into(), "d".into(), 1, LIMITS);
        rollout.on_order(now, Some(order()));
        if case.has_record {
            let record =
                RolloutRecord::new(order().written_at, version(true), RolloutPhase::Trial, 1);
            rollout.on_record(now, record);
        }
        let exposed = (0..100).filter(|_| {
            let is_exposed = rollout.may_expose(now, case.is_view_current);
            rollout.on_sent(now, &version(is_exposed));
            is_exposed
        });
        let exposed = exposed.count();
        assert_eq!(exposed > 0, case.exposes, "{}", case.name);
        assert!(exposed <= 9, "{}: {exposed} of 100", case.name);
    }
}

/// Number of cases, unless `ROLLOUT_CASES` says otherwise.
fn env_cases() -> u32 {
    env::var("ROLLOUT_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(24)
}

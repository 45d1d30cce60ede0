use super::support::MODEL;
use cassiagw_core::{
    forwarding::{EngineView, OrderMode, OrderOutcome, WeightRollout, WeightStep},
    ids::EndpointId,
};
use std::time::{Duration, Instant};

const LOAD: Duration = Duration::from_millis(900);

/// Simulated engine that accepts orders like the platform's engines.
#[derive(Clone, Debug)]
struct Engine {
    id: EndpointId,
    version: u64,
    accepted: u64,
    loading: Option<(u64, Instant)>,
    started: u64,
}

impl Engine {
    fn new(index: usize) -> Self {
        let id = format!("e{index}").into();
        Self { id, version: 1, accepted: 0, loading: None, started: 1 }
    }

    fn settle(&mut self, now: Instant) {
        if let Some((version, until)) = self.loading
            && now >= until
        {
            self.version = version;
            self.loading = None;
        }
    }

    fn order(&mut self, now: Instant, version: u64, expected: Option<u64>) -> OrderOutcome {
        if expected.is_some_and(|expected| expected != self.accepted) || self.loading.is_some() {
            return OrderOutcome::Conflict;
        }
        if self.version == version {
            return OrderOutcome::Holds;
        }
        self.accepted += 1;
        self.loading = Some((version, now + LOAD));
        OrderOutcome::Accepted
    }

    fn view(&self) -> EngineView {
        EngineView {
            id: self.id.clone(),
            started_unix_ms: Some(self.started),
            version: self.version,
            requests: 0,
            memory_tokens: 0,
            capacity_tokens: 0,
        }
    }
}

/// Fault injected into every third order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InjectedFault {
    None,
    /// The order is lost in transit.
    OrderLost,
    /// The order is carried out, but its answer is lost.
    AnswerLost,
    /// The engine restarts with its old weights.
    Restart,
}

struct Simulation {
    took: Duration,
    most_at_once: usize,
    loads: u64,
}

fn simulate(count: usize, fault: InjectedFault) -> Simulation {
    let start = Instant::now();
    let mut engines: Vec<Engine> = (0..count).map(Engine::new).collect();
    let mut rollout = WeightRollout::default();
    let mut most_at_once = 0;
    let mut orders = 0;
    let mut loads = 0;
    for tick in 0..500 {
        let now = start + Duration::from_millis(40 * tick);
        engines.iter_mut().for_each(|engine| engine.settle(now));
        if engines.iter().all(|engine| engine.version == 2) {
            return Simulation { took: now - start, most_at_once, loads };
        }
        let views: Vec<EngineView> = engines.iter().map(Engine::view).collect();
        for step in rollout.step(now, &MODEL.into(), 2, &views) {
            match step {
                WeightStep::Read(id) => {
                    let engine = engines.iter().find(|engine| engine.id == id).expect("it exists");
                    rollout.on_read(now, &id, engine.loading.is_some(), engine.accepted);
                }
                WeightStep::Order(order) => {
                    orders += 1;
                    let is_faulted = orders % 3 == 0;
                    let engine = engines.iter_mut().find(|engine| engine.id == order.engine);
                    let engine = engine.expect("it exists");
                    if is_faulted && fault == InjectedFault::OrderLost {
                        rollout.on_outcome(now, &order.engine, OrderOutcome::Unknown);
                        continue;
                    }
                    let outcome = engine.order(now, order.version, order.expected);
                    loads += u64::from(outcome == OrderOutcome::Accepted);
                    let reported = match fault {
                        InjectedFault::AnswerLost if is_faulted => OrderOutcome::Unknown,
                        _ => outcome,
                    };
                    if is_faulted && fault == InjectedFault::Restart && orders < 10 {
                        *engine = Engine { started: engine.started + 1, ..Engine::new(0) };
                        engine.id = order.engine.clone();
                    }
                    rollout.on_outcome(now, &order.engine, reported);
                }
            }
        }
        let loading = engines.iter().filter(|engine| engine.loading.is_some()).count();
        most_at_once = most_at_once.max(loading);
    }
    panic!("{fault:?}: not all engines have the new weights");
}

#[test]
fn all_engines_get_new_weights_in_time_a_third_at_once() {
    struct Case {
        engines: usize,
        fault: InjectedFault,
        within: Duration,
    }
    // Operators require 6 s for engines that answer.
    #[rustfmt::skip]
    let cases = [
        Case { engines: 18, fault: InjectedFault::None, within: Duration::from_secs(6) },
        Case { engines: 12, fault: InjectedFault::None, within: Duration::from_secs(6) },
        Case { engines: 52, fault: InjectedFault::None, within: Duration::from_secs(6) },
        Case { engines: 1, fault: InjectedFault::None, within: Duration::from_secs(6) },
        Case { engines: 18, fault: InjectedFault::AnswerLost, within: Duration::from_secs(6) },
        Case { engines: 18, fault: InjectedFault::OrderLost, within: Duration::from_secs(6) },
        Case { engines: 18, fault: InjectedFault::Restart, within: Duration::from_secs(6) },
    ];
    for case in cases {
        let simulation = simulate(case.engines, case.fault);
        let name = format!("{} engines, {:?}", case.engines, case.fault);
        assert!(simulation.took <= case.within, "{name}: {:?}", simulation.took);
        assert!(
            simulation.most_at_once <= case.engines.div_ceil(3),
            "{name}: {}",
            simulation.most_at_once
        );
        if case.fault != InjectedFault::Restart {
            assert_eq!(simulation.loads, case.engines as u64, "{name}: weights loaded once each");
        }
    }
}

/// Guards against more than a third of the engines being closed when they take long to finish the
/// requests that they run.
#[test]
fn engines_that_carry_out_an_order_for_long_still_count_towards_the_batch() {
    let start = Instant::now();
    let views: Vec<EngineView> = (0..9).map(|index| Engine::new(index).view()).collect();
    let mut rollout = WeightRollout::default();
    let mut ordered = Vec::new();
    for tick in 0..250 {
        let now = start + Duration::from_millis(40 * tick);
        for step in rollout.step(now, &MODEL.into(), 2, &views) {
            match step {
                WeightStep::Read(id) => {
                    rollout.on_read(now, &id, ordered.contains(&id), 0);
                }
                WeightStep::Order(order) => ordered.push(order.engine),
            }
        }
    }
    assert_eq!(ordered.len(), 3, "{ordered:?}");
}

/// Guards against waiting for the busiest engines while idle ones could be back at once.
#[test]
fn engines_with_few_requests_come_first() {
    let start = Instant::now();
    let view = |index: usize| EngineView {
        requests: [7, 0, 9, 1, 8, 2][index],
        ..Engine::new(index).view()
    };
    let views: Vec<EngineView> = (0..6).map(view).collect();
    let mut rollout = WeightRollout::default();
    for step in rollout.step(start, &MODEL.into(), 2, &views) {
        if let WeightStep::Read(id) = step {
            rollout.on_read(start, &id, false, 0);
        }
    }
    let ordered: Vec<String> = rollout
        .step(start, &MODEL.into(), 2, &views)
        .into_iter()
        .filter_map(|step| match step {
            WeightStep::Order(order) => Some(order.engine.to_string()),
            WeightStep::Read(_) => None,
        })
        .collect();
    assert_eq!(ordered, ["e1", "e3"]);
}

/// Guards against a third of the engines being closed for seconds, until their longest streams have
/// ended, while the others have no room for what arrives.
#[test]
fn runs_are_kept_only_if_the_engines_that_stay_open_lack_room() {
    struct Case {
        engines: usize,
        fill_percent: u64,
        closed: usize,
        expected: OrderMode,
    }
    #[rustfmt::skip]
    let cases = [
        Case { engines: 12, fill_percent: 0, closed: 4, expected: OrderMode::AfterRuns },
        Case { engines: 12, fill_percent: 30, closed: 4, expected: OrderMode::AfterRuns },
        Case { engines: 12, fill_percent: 36, closed: 4, expected: OrderMode::KeepRuns },
        Case { engines: 12, fill_percent: 90, closed: 4, expected: OrderMode::KeepRuns },
        Case { engines: 12, fill_percent: 36, closed: 1, expected: OrderMode::AfterRuns },
        Case { engines: 1, fill_percent: 0, closed: 1, expected: OrderMode::AfterRuns },
        Case { engines: 1, fill_percent: 10, closed: 1, expected: OrderMode::KeepRuns },
    ];
    for case in cases {
        let view = |index| EngineView {
            memory_tokens: 1_000 * case.fill_percent,
            capacity_tokens: 100_000,
            ..Engine::new(index).view()
        };
        let engines: Vec<EngineView> = (0..case.engines).map(view).collect();
        let mode = OrderMode::choose(&engines, case.closed);
        let name = format!("{} engines, {} % full", case.engines, case.fill_percent);
        assert_eq!(mode, case.expected, "{name}");
    }
    let unknown: Vec<EngineView> = (0..3).map(|index| Engine::new(index).view()).collect();
    assert_eq!(OrderMode::choose(&unknown, 1), OrderMode::AfterRuns, "capacity is not known");
}

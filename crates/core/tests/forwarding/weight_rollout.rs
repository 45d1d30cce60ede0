use super::support::MODEL;
use cassiagw_core::{
    forwarding::{EngineView, OrderOutcome, WeightRollout, WeightStep},
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

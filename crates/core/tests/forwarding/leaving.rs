//! Endpoints that say in their answers that they leave, whatever the platform's list says.

use super::support::{entry, plain_request, plain_service};
use cassiagw_core::forwarding::{
    EndpointEntry, EndpointNotice, EndpointTable, LeavingStatement, Pick, Service,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_secs(2);
const LEAVING: EndpointNotice = EndpointNotice { is_leaving: true, pause: None };
const ENDPOINTS: usize = 3;
const DAEMONS: usize = 2;

/// What happens between two requests.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The endpoint tells a daemon in an answer that it leaves.
    Says { endpoint: usize, daemon: usize },
    /// The list has the endpoint as ready, or no longer has it, at all daemons.
    Listed { endpoint: usize, is_listed: bool },
    /// The endpoint starts anew under its name.
    Restarts { endpoint: usize },
    /// The daemons tell each other what they heard.
    Reports,
    /// Time passes.
    Passes { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let endpoint = 0..ENDPOINTS;
    let step = prop_oneof![
        (endpoint.clone(), 0..DAEMONS)
            .prop_map(|(endpoint, daemon)| Step::Says { endpoint, daemon }),
        (endpoint.clone(), any::<bool>())
            .prop_map(|(endpoint, is_listed)| Step::Listed { endpoint, is_listed }),
        endpoint.prop_map(|endpoint| Step::Restarts { endpoint }),
        Just(Step::Reports),
        (0..1_500_u64).prop_map(|ms| Step::Passes { ms }),
    ];
    prop::collection::vec(step, 1..60)
}

struct World {
    now: Instant,
    service: Service,
    listed: Vec<EndpointEntry>,
    tables: Vec<EndpointTable>,
    /// When each daemon was first told by each endpoint's present boot that it leaves.
    told: Vec<[Option<Instant>; ENDPOINTS]>,
}

impl World {
    fn new() -> Self {
        let service = plain_service();
        let listed: Vec<_> =
            (0..ENDPOINTS).map(|n| entry(&format!("d{n}"), &service, "z0")).collect();
        let tables = (0..DAEMONS).map(|_| {
            let mut table = EndpointTable::new("z0".into());
            table.set_drain(DRAIN);
            listed.iter().for_each(|entry| table.insert(Instant::now(), entry.clone()));
            table
        });
        let tables = tables.collect();
        let told = vec![[None; ENDPOINTS]; DAEMONS];
        Self { now: Instant::now(), service, listed, tables, told }
    }

    fn step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Says { endpoint, daemon } => {
                let entry = &self.listed[endpoint];
                if self.tables[daemon].entry(&entry.id).is_some() {
                    self.tables[daemon].on_notice(now, &entry.id, LEAVING);
                    self.told[daemon][endpoint].get_or_insert(now);
                }
            }
            Step::Listed { endpoint, is_listed: true } => {
                let entry = &self.listed[endpoint];
                self.tables.iter_mut().for_each(|table| table.insert(now, entry.clone()));
            }
            Step::Listed { endpoint, is_listed: false } => {
                let id = &self.listed[endpoint].id;
                self.tables.iter_mut().for_each(|table| table.remove(id));
            }
            Step::Restarts { endpoint } => {
                let entry = &mut self.listed[endpoint];
                entry.started_unix_ms = entry.started_unix_ms.map(|started| started + 1);
                self.told.iter_mut().for_each(|told| told[endpoint] = None);
                self.tables.iter_mut().for_each(|table| table.insert(now, entry.clone()));
            }
            Step::Reports => {
                for from in 0..DAEMONS {
                    let statements = self.tables[from].leaving_statements(now);
                    for to in (0..DAEMONS).filter(|to| *to != from) {
                        for statement in &statements {
                            self.tables[to].on_peer_leaving(now, Duration::ZERO, statement);
                        }
                    }
                }
            }
            Step::Passes { ms } => self.now += Duration::from_millis(ms),
        }
    }

    /// Index of the endpoint that a daemon picks.
    fn pick(&self, daemon: usize) -> Option<usize> {
        match self.tables[daemon].pick(self.now, &plain_request(&self.service)) {
            Pick::Endpoint(picked) => {
                assert!(self.tables[daemon].still_accepts(self.now, &picked.entry));
                self.listed.iter().position(|entry| entry.id == picked.entry.id)
            }
            _ => None,
        }
    }
}

proptest! {
    #[test]
    fn a_boot_that_said_it_leaves_gets_nothing_after_the_drain(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            for daemon in 0..DAEMONS {
                let staying = (0..ENDPOINTS).find(|endpoint| {
                    let entry = world.tables[daemon].entry(&world.listed[*endpoint].id);
                    entry.is_some_and(|entry| !world.tables[daemon].is_leaving(&entry.id))
                });
                let picked = world.pick(daemon);
                let told = picked.and_then(|endpoint| world.told[daemon][endpoint]);
                prop_assert!(told.is_none_or(|told| world.now < told + DRAIN), "{step:?}");
                prop_assert!(told.is_none() || staying.is_none(), "another one takes it");
                prop_assert!(picked.is_some() || staying.is_none(), "one stays: {step:?}");
            }
        }
    }
}

#[test]
fn other_daemons_are_told_once_and_of_the_right_boot() {
    let mut world = World::new();
    let at = |ms| world.now + Duration::from_millis(ms);
    let (now, later, much_later) = (at(0), at(900), at(1_100));
    let [teller, hearer] = &mut world.tables[..] else { panic!("two daemons") };
    assert_eq!(teller.on_notice(now, "d0", LEAVING), LEAVING, "news");
    assert!(teller.on_notice(later, "d0", LEAVING).is_empty(), "known");
    let statements = teller.leaving_statements(later);
    assert_eq!(statements.len(), 1);
    assert_eq!(teller.leaving_statements(much_later), [], "all have been told");
    let other_boot = LeavingStatement { boot: Some(9), ..statements[0].clone() };
    assert!(!hearer.on_peer_leaving(later, Duration::ZERO, &other_boot), "another process");
    assert!(hearer.on_peer_leaving(later, Duration::ZERO, &statements[0]));
    assert!(hearer.is_leaving("d0"));
    assert_eq!(hearer.leaving_statements(later), [], "the teller tells all");
    assert_eq!((hearer.unlisted_leaving(), hearer.is_leaving("d1")), (1, false));
}

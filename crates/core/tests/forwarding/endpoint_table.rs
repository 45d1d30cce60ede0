use super::support::{MODEL, engine_service, entry, plain_service, prompt};
use cassiagw_core::{
    forwarding::{
        EndpointEntry, EndpointPhase, EndpointTable, EndpointWork, Fault, Pick, PickRequest,
        Picked, Prompt, Service, part_key,
    },
    ids::EndpointId,
};
use std::time::{Duration, Instant};

const OLD_WEIGHTS_FOR: Duration = Duration::from_secs(6);

struct World {
    now: Instant,
    service: Service,
    table: EndpointTable,
}

impl World {
    fn new(service: Service, endpoints: usize) -> Self {
        let now = Instant::now();
        let mut table = EndpointTable::new("elsewhere".into());
        for index in 0..endpoints {
            table.insert(now, entry(&format!("e{index}"), &service, &format!("z{}", index % 3)));
        }
        Self { now, service, table }
    }

    fn pick(&mut self, prompt: Option<&Prompt>, excluded: &[EndpointId], spread: u64) -> Pick {
        self.table.expire(self.now);
        self.table.pick(self.now, &request(&self.service, prompt, excluded, spread))
    }

    /// Sends a request to the best endpoint; its answer does not start.
    fn send(&mut self, prompt: Option<&Prompt>) -> Option<Picked> {
        let Pick::Endpoint(picked) = self.pick(prompt, &[], 0) else { return None };
        let service = self.service.clone();
        self.table.on_sent(self.now, &picked, &request(&service, prompt, &[], 0));
        Some(*picked)
    }

    fn picked(&mut self, prompt: Option<&Prompt>) -> Option<EndpointId> {
        match self.pick(prompt, &[], 0) {
            Pick::Endpoint(picked) => Some(picked.entry.id),
            _ => None,
        }
    }

    /// Endpoints selected for any of many requests, none of which occupies an endpoint.
    fn reachable(&mut self) -> Vec<String> {
        let mut ids: Vec<String> = (0..400)
            .filter_map(|spread| {
                let part = format!("part{spread}");
                let prompt = self.service.engine.is_some().then(|| prompt(&part));
                match self.pick(prompt.as_ref(), &[], spread) {
                    Pick::Endpoint(picked) => Some(picked.entry.id.to_string()),
                    _ => None,
                }
            })
            .collect();
        ids.sort();
        ids.dedup();
        ids
    }
}

fn request<'a>(
    service: &'a Service,
    prompt: Option<&'a Prompt>,
    excluded: &'a [EndpointId],
    spread: u64,
) -> PickRequest<'a> {
    let old_weights_for = OLD_WEIGHTS_FOR;
    let part = prompt.and_then(|prompt| part_key("m/1/", prompt));
    PickRequest { service, prompt, part, stored_in: &[], excluded, old_weights_for, spread }
}

#[test]
fn endpoints_that_must_get_nothing_get_nothing() {
    struct Case {
        name: &'static str,
        change: fn(&mut World),
        left: &'static [&'static str],
    }
    let cases = [
        Case { name: "all", change: |_| {}, left: &["e0", "e1", "e2"] },
        Case {
            name: "draining",
            change: |world| {
                let mut entry = entry("e0", &world.service, "z0");
                entry.phase = EndpointPhase::Draining;
                world.table.insert(world.now, entry);
            },
            left: &["e1", "e2"],
        },
        Case {
            name: "removed",
            change: |world| world.table.remove(&"e1".into()),
            left: &["e0", "e2"],
        },
        Case {
            name: "evacuated zone",
            change: |world| world.table.set_evacuated(["z2".into()].into_iter().collect()),
            left: &["e0", "e1"],
        },
        Case {
            name: "lapsed and not back in time",
            change: |world| {
                world.table.remove_at(&"e2".into(), world.now + Duration::from_secs(2));
                world.now += Duration::from_secs(2);
            },
            left: &["e0", "e1"],
        },
        Case {
            name: "lapsed and back",
            change: |world| {
                world.table.remove_at(&"e2".into(), world.now + Duration::from_secs(2));
                let back = entry("e2", &world.service, "z2");
                world.table.insert(world.now, back);
                world.now += Duration::from_secs(2);
            },
            left: &["e0", "e1", "e2"],
        },
        Case {
            name: "refuses connections",
            change: |world| world.table.on_fault(world.now, "e0", Fault::ConnectFailed),
            left: &["e1", "e2"],
        },
        Case {
            name: "full",
            change: |world| world.table.on_fault(world.now, "e0", Fault::NotExecuted),
            left: &["e1", "e2"],
        },
        Case {
            name: "rested again",
            change: |world| {
                world.table.on_fault(world.now, "e0", Fault::ConnectFailed);
                world.now += Duration::from_secs(20);
            },
            left: &["e0", "e1", "e2"],
        },
        Case {
            name: "changes its weights",
            change: |world| world.table.back_off("e1", world.now + Duration::from_secs(1)),
            left: &["e0", "e2"],
        },
        Case {
            name: "has changed its weights",
            change: |world| {
                world.table.back_off("e1", world.now + Duration::from_secs(1));
                world.table.end_requested_backoff(world.now, "e1");
            },
            left: &["e0", "e1", "e2"],
        },
    ];
    for service in [plain_service(), engine_service()] {
        for case in &cases {
            let mut world = World::new(service.clone(), 3);
            (case.change)(&mut world);
            assert_eq!(world.reachable(), case.left, "{} of {}", case.name, service.name);
        }
    }
}

#[test]
fn not_all_endpoints_rest_at_once() {
    let mut world = World::new(plain_service(), 3);
    for id in ["e0", "e1", "e2"] {
        (0..6).for_each(|_| world.table.on_fault(world.now, id, Fault::Closed));
    }
    assert_eq!(world.reachable().len(), 3, "a service that fails everywhere is still tried");
}

#[test]
fn prompts_with_a_shared_part_come_together_until_the_place_is_full() {
    let mut world = World::new(engine_service(), 9);
    let wanted = prompt("manual");
    let first = world.send(Some(&wanted)).expect("all are free");
    world.table.on_answer_started(&first.entry.id, &first.work, Duration::from_millis(200));
    world.table.on_request_done(&first.entry.id, &first.work, true);
    assert_eq!(world.picked(Some(&wanted)), Some(first.entry.id.clone()));
    let work = vec![EndpointWork {
        endpoint: first.entry.id.clone(),
        requests: 3,
        unread_tokens: 30_000,
        memory_tokens: 30_000,
    }];
    world.table.on_peer_work(world.now, "other".into(), work);
    let spilled = world.picked(Some(&wanted));
    assert!(spilled.is_some() && spilled != Some(first.entry.id), "others queue there");
}

/// Without waiting, requests sharing a part that arrive within half a second of each other each
/// prefill it on another engine (3.3 million tokens in one day).
#[test]
fn a_part_that_is_being_read_is_waited_for() {
    let mut world = World::new(engine_service(), 9);
    let wanted = prompt("manual");
    let first = world.send(Some(&wanted)).expect("all are free");
    assert!(matches!(world.pick(Some(&wanted), &[], 0), Pick::Busy(_)), "it is not read again");
    assert!(world.picked(Some(&prompt("other"))).is_some());
    world.table.on_answer_started(&first.entry.id, &first.work, Duration::from_millis(200));
    assert_eq!(world.picked(Some(&wanted)), Some(first.entry.id));
}

#[test]
fn an_engine_gets_no_more_than_it_can_begin_soon() {
    let mut world = World::new(engine_service(), 3);
    let placed: Vec<Picked> =
        (0..20).map_while(|n| world.send(Some(&prompt(&format!("p{n}"))))).collect();
    assert_eq!(placed.len(), 3, "10,000 tokens are more than 250 ms of reading");
    assert!(matches!(world.pick(Some(&prompt("x")), &[], 0), Pick::Busy(_)));
    let first = &placed[0];
    world.table.on_answer_started(&first.entry.id, &first.work, Duration::from_millis(200));
    assert_eq!(world.picked(Some(&prompt("x"))), Some(first.entry.id.clone()));
}

#[test]
fn an_engine_gets_no_more_than_its_memory_holds() {
    let mut world = World::new(engine_service(), 1);
    let mut sent = 0;
    while let Some(picked) = world.send(Some(&prompt("same"))) {
        world.table.on_answer_started(&picked.entry.id, &picked.work, Duration::from_millis(200));
        sent += 1;
        assert!(sent < 100);
    }
    // Requests of 10,050 tokens in a memory of 80,000, of which 95 % is used.
    assert_eq!(sent, 7);
}

#[test]
fn excluded_endpoints_are_not_chosen() {
    let mut world = World::new(plain_service(), 2);
    for spread in 0..20 {
        let Pick::Endpoint(picked) = world.pick(None, &["e0".into()], spread) else {
            panic!("e1 is free");
        };
        assert_eq!(&*picked.entry.id, "e1");
    }
    assert_eq!(world.pick(None, &["e0".into(), "e1".into()], 0), Pick::NoEndpoint);
    world.service.name = "nowhere".into();
    assert_eq!(world.pick(None, &[], 0), Pick::NoEndpoint);
}

#[test]
fn older_weights_are_left_in_time() {
    let mut world = World::new(engine_service(), 2);
    world.table.set_target_version(world.now, MODEL.into(), 2, true);
    assert!(world.picked(Some(&prompt("s"))).is_some(), "older weights serve for a while");
    world.table.on_weights("e1", &MODEL.into(), 2);
    world.now += Duration::from_secs(2);
    assert_eq!(world.picked(Some(&prompt("s"))).as_deref(), Some("e1"));
    world.table.remove(&"e1".into());
    world.now += OLD_WEIGHTS_FOR;
    assert_eq!(world.picked(Some(&prompt("s"))), None, "no request begins on them after the bound");
}

#[test]
fn a_request_that_waits_on_older_weights_has_a_last_moment_to_begin() {
    let mut world = World::new(engine_service(), 1);
    let begin_by = |world: &World, version| world.table.begin_by(MODEL, version, OLD_WEIGHTS_FOR);
    assert_eq!(begin_by(&world, Some(1)), None, "the newest weights have no bound");
    world.table.set_target_version(world.now, MODEL.into(), 2, true);
    assert_eq!(begin_by(&world, Some(2)), None);
    assert_eq!(begin_by(&world, None), None);
    let at = begin_by(&world, Some(1)).expect("older weights have a bound");
    assert!(at < world.now + OLD_WEIGHTS_FOR && at > world.now + OLD_WEIGHTS_FOR / 2);
    // A request sent this late could wait in a busy engine's queue until after the limit.
    world.now = at - Duration::from_millis(1_000);
    assert_eq!(world.picked(Some(&prompt("s"))), None);
}

/// Parts of version 1 were fetched again once version 3 was announced, while they were being deleted.
/// A daemon that starts late must not fetch them either.
#[test]
fn only_the_weights_just_replaced_are_still_fetched_and_for_a_while() {
    struct Case {
        named: &'static [u64],
        is_just_announced: bool,
        after: Duration,
        version: u64,
        is_fetched: bool,
    }
    const SOON: Duration = Duration::from_secs(1);
    const LATE: Duration = Duration::from_secs(2);
    #[rustfmt::skip]
    let cases = [
        Case { named: &[], is_just_announced: true, after: LATE, version: 1, is_fetched: true },
        Case { named: &[2], is_just_announced: true, after: SOON, version: 2, is_fetched: true },
        Case { named: &[2], is_just_announced: true, after: LATE, version: 2, is_fetched: true },
        Case { named: &[2], is_just_announced: true, after: SOON, version: 1, is_fetched: true },
        Case { named: &[2], is_just_announced: true, after: LATE, version: 1, is_fetched: false },
        Case { named: &[2, 3], is_just_announced: true, after: SOON, version: 2, is_fetched: true },
        Case { named: &[2, 3], is_just_announced: true, after: SOON, version: 1, is_fetched: false },
        Case { named: &[5], is_just_announced: true, after: SOON, version: 1, is_fetched: true },
        // A daemon that just started does not know how long ago the update was announced.
        Case { named: &[2], is_just_announced: false, after: SOON, version: 1, is_fetched: false },
        Case { named: &[2], is_just_announced: false, after: SOON, version: 2, is_fetched: true },
        Case { named: &[2, 2], is_just_announced: true, after: SOON, version: 1, is_fetched: true },
    ];
    for case in cases {
        let mut world = World::new(engine_service(), 1);
        for version in case.named {
            world.table.set_target_version(
                world.now,
                MODEL.into(),
                *version,
                case.is_just_announced,
            );
        }
        let is_fetched = world.table.may_fetch(world.now + case.after, MODEL, case.version);
        assert_eq!(is_fetched, case.is_fetched, "{:?} {}", case.named, case.version);
    }
    let mut frozen = World::new(engine_service(), 1);
    frozen.table.set_target_version(frozen.now, MODEL.into(), 2, true);
    frozen.table.end_previous_version_fetches();
    assert!(!frozen.table.may_fetch(frozen.now, MODEL, 1));
    assert!(frozen.table.may_fetch(frozen.now, MODEL, 2));
}

#[test]
fn a_restart_in_place_is_another_endpoint() {
    let mut world = World::new(engine_service(), 1);
    world.table.set_target_version(world.now, MODEL.into(), 2, true);
    world.table.on_weights("e0", &MODEL.into(), 2);
    let late = entry("e0", &world.service, "z0");
    world.table.insert(world.now, late.clone());
    assert_eq!(
        world.table.entry("e0").and_then(|entry| entry.version_of(MODEL)),
        Some(2),
        "an entry lags"
    );
    world.table.insert(world.now, EndpointEntry { born_unix_ms: Some(2), ..late });
    assert_eq!(world.table.entry("e0").and_then(|entry| entry.version_of(MODEL)), Some(1));
}

#[test]
fn a_cold_endpoint_gets_its_share_and_the_others_the_rest() {
    let mut world = World::new(engine_service(), 2);
    world.table.set_daemons(4);
    let mut cold = entry("e0", &world.service, "z0");
    cold.cold_left = Duration::from_secs(3);
    cold.born_unix_ms = Some(2);
    world.table.insert(world.now, cold);
    let mut sent = 0;
    for ms in 0..2_000 {
        world.now += Duration::from_millis(1);
        let prompt = prompt(&format!("p{ms}"));
        let Some(picked) = world.send(Some(&prompt)) else { continue };
        world.table.on_request_done(&picked.entry.id, &picked.work, false);
        sent += usize::from(&*picked.entry.id == "e0");
    }
    // The limit is 10 requests per second for all four daemons, over two seconds.
    assert!((1..=5).contains(&sent), "{sent}");
}

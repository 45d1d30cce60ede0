use super::support::{MODEL, engine_service, entry, plain_service, prompt};
use cassiagw_core::{
    forwarding::{
        DaemonRanks, EndpointEntry, EndpointPhase, EndpointTable, EndpointWork, Fault, Pick,
        PickRequest, Picked, Prompt, Service, part_key,
    },
    ids::EndpointId,
};
use std::time::{Duration, Instant};

const OLD_WEIGHTS_LIMIT: Duration = Duration::from_secs(6);

struct Fixture {
    now: Instant,
    service: Service,
    table: EndpointTable,
}

impl Fixture {
    fn new(service: Service, endpoints: usize) -> Self {
        let now = Instant::now();
        let mut table = EndpointTable::new("elsewhere".into());
        for index in 0..endpoints {
            table.insert(now, entry(&format!("e{index}"), &service, &format!("z{}", index % 3)));
        }
        Self { now, service, table }
    }

    fn pick(&mut self, prompt: Option<&Prompt>, excluded: &[EndpointId], tie_breaker: u64) -> Pick {
        self.table.expire(self.now);
        self.table.pick(self.now, &request(&self.service, prompt, excluded, tie_breaker))
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
    fn selectable(&mut self) -> Vec<String> {
        let mut ids: Vec<String> = (0..400)
            .filter_map(|tie_breaker| {
                let part = format!("part{tie_breaker}");
                let prompt = self.service.engine.is_some().then(|| prompt(&part));
                match self.pick(prompt.as_ref(), &[], tie_breaker) {
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
    tie_breaker: u64,
) -> PickRequest<'a> {
    let old_weights_limit = OLD_WEIGHTS_LIMIT;
    let part = prompt.and_then(|prompt| part_key("m/1/", prompt));
    PickRequest {
        versions: None,
        service,
        prompt,
        part,
        stored_in: &[],
        excluded,
        old_weights_limit,
        may_expose: false,
        tie_breaker,
    }
}

#[test]
fn unavailable_endpoints_receive_no_requests() {
    struct Case {
        name: &'static str,
        change: fn(&mut Fixture),
        expected: &'static [&'static str],
    }
    let cases = [
        Case { name: "all", change: |_| {}, expected: &["e0", "e1", "e2"] },
        Case {
            name: "draining",
            change: |fixture| {
                let mut entry = entry("e0", &fixture.service, "z0");
                entry.phase = EndpointPhase::Draining;
                fixture.table.insert(fixture.now, entry);
            },
            expected: &["e1", "e2"],
        },
        Case {
            name: "removed",
            change: |fixture| fixture.table.remove(&"e1".into()),
            expected: &["e0", "e2"],
        },
        Case {
            name: "evacuated zone",
            change: |fixture| fixture.table.set_evacuated(["z2".into()].into_iter().collect()),
            expected: &["e0", "e1"],
        },
        Case {
            name: "lease lapsed, entry not back in time",
            change: |fixture| {
                fixture.table.remove_at(&"e2".into(), fixture.now + Duration::from_secs(2));
                fixture.now += Duration::from_secs(2);
            },
            expected: &["e0", "e1"],
        },
        Case {
            name: "lease lapsed, entry back in time",
            change: |fixture| {
                fixture.table.remove_at(&"e2".into(), fixture.now + Duration::from_secs(2));
                let back = entry("e2", &fixture.service, "z2");
                fixture.table.insert(fixture.now, back);
                fixture.now += Duration::from_secs(2);
            },
            expected: &["e0", "e1", "e2"],
        },
        Case {
            name: "refuses connections",
            change: |fixture| fixture.table.on_fault(fixture.now, "e0", Fault::ConnectFailed),
            expected: &["e1", "e2"],
        },
        Case {
            name: "full",
            change: |fixture| fixture.table.on_fault(fixture.now, "e0", Fault::NotExecuted),
            expected: &["e1", "e2"],
        },
        Case {
            name: "backoff over",
            change: |fixture| {
                fixture.table.on_fault(fixture.now, "e0", Fault::ConnectFailed);
                fixture.now += Duration::from_secs(20);
            },
            expected: &["e0", "e1", "e2"],
        },
        Case {
            name: "loading weights",
            change: |fixture| fixture.table.back_off("e1", fixture.now + Duration::from_secs(1)),
            expected: &["e0", "e2"],
        },
        Case {
            name: "weights loaded",
            change: |fixture| {
                fixture.table.back_off("e1", fixture.now + Duration::from_secs(1));
                fixture.table.end_requested_backoff(fixture.now, "e1");
            },
            expected: &["e0", "e1", "e2"],
        },
    ];
    for service in [plain_service(), engine_service()] {
        for case in &cases {
            let mut fixture = Fixture::new(service.clone(), 3);
            (case.change)(&mut fixture);
            assert_eq!(fixture.selectable(), case.expected, "{} of {}", case.name, service.name);
        }
    }
}

#[test]
fn not_all_endpoints_are_skipped_at_once() {
    let mut fixture = Fixture::new(plain_service(), 3);
    for id in ["e0", "e1", "e2"] {
        (0..6).for_each(|_| fixture.table.on_fault(fixture.now, id, Fault::Closed));
    }
    assert_eq!(fixture.selectable().len(), 3, "a service that fails everywhere is still tried");
}

#[test]
fn prompts_with_a_shared_part_use_one_engine_until_it_is_full() {
    let mut fixture = Fixture::new(engine_service(), 9);
    let shared_prompt = prompt("manual");
    let first = fixture.send(Some(&shared_prompt)).expect("all are free");
    fixture.table.on_answer_started(&first.entry.id, &first.work, Duration::from_millis(200));
    fixture.table.on_request_done(&first.entry.id, &first.work, true);
    assert_eq!(fixture.picked(Some(&shared_prompt)), Some(first.entry.id.clone()));
    let work = vec![EndpointWork {
        endpoint: first.entry.id.clone(),
        requests: 3,
        unread_tokens: 30_000,
        memory_tokens: 30_000,
    }];
    fixture.table.on_peer_work(fixture.now, fixture.now, "other".into(), work);
    let spilled = fixture.picked(Some(&shared_prompt));
    assert!(
        spilled.is_some() && spilled != Some(first.entry.id),
        "requests of other daemons are queued there"
    );
}

/// Without waiting, requests sharing a part that arrive within half a second of each other each
/// prefill it on another engine (3.3 million tokens in one day).
#[test]
fn a_request_waits_for_the_engine_that_prefills_its_part() {
    let mut fixture = Fixture::new(engine_service(), 9);
    let shared_prompt = prompt("manual");
    let first = fixture.send(Some(&shared_prompt)).expect("all are free");
    assert!(
        matches!(fixture.pick(Some(&shared_prompt), &[], 0), Pick::Busy(_)),
        "the part is not prefilled twice"
    );
    assert!(fixture.picked(Some(&prompt("other"))).is_some());
    fixture.table.on_answer_started(&first.entry.id, &first.work, Duration::from_millis(200));
    assert_eq!(fixture.picked(Some(&shared_prompt)), Some(first.entry.id));
}

#[test]
fn queued_prefill_per_engine_is_bounded() {
    let mut fixture = Fixture::new(engine_service(), 3);
    let placed: Vec<Picked> =
        (0..20).map_while(|n| fixture.send(Some(&prompt(&format!("p{n}"))))).collect();
    assert_eq!(placed.len(), 3, "10,000 tokens take more than 250 ms to prefill");
    assert!(matches!(fixture.pick(Some(&prompt("x")), &[], 0), Pick::Busy(_)));
    let first = &placed[0];
    fixture.table.on_answer_started(&first.entry.id, &first.work, Duration::from_millis(200));
    assert_eq!(fixture.picked(Some(&prompt("x"))), Some(first.entry.id.clone()));
}

#[test]
fn an_engine_gets_no_more_than_its_memory_holds() {
    let mut fixture = Fixture::new(engine_service(), 1);
    let mut sent = 0;
    while let Some(picked) = fixture.send(Some(&prompt("same"))) {
        fixture.table.on_answer_started(&picked.entry.id, &picked.work, Duration::from_millis(200));
        sent += 1;
        assert!(sent < 100);
    }
    // Requests of 10,050 tokens in a memory of 80,000, of which 95 % is used.
    assert_eq!(sent, 7);
}

#[test]
fn excluded_endpoints_are_not_chosen() {
    let mut fixture = Fixture::new(plain_service(), 2);
    for tie_breaker in 0..20 {
        let Pick::Endpoint(picked) = fixture.pick(None, &["e0".into()], tie_breaker) else {
            panic!("e1 is free");
        };
        assert_eq!(&*picked.entry.id, "e1");
    }
    assert_eq!(fixture.pick(None, &["e0".into(), "e1".into()], 0), Pick::NoEndpoint);
    fixture.service.name = "nowhere".into();
    assert_eq!(fixture.pick(None, &[], 0), Pick::NoEndpoint);
}

#[test]
fn older_weights_are_not_used_after_the_limit() {
    let mut fixture = Fixture::new(engine_service(), 2);
    fixture.table.set_target_version(fixture.now, MODEL.into(), 2, true);
    assert!(fixture.picked(Some(&prompt("s"))).is_some(), "older weights are used for a while");
    fixture.table.on_weights(fixture.now, "e1", &MODEL.into(), 2);
    fixture.now += Duration::from_secs(2);
    assert_eq!(fixture.picked(Some(&prompt("s"))).as_deref(), Some("e1"));
    fixture.table.remove(&"e1".into());
    fixture.now += OLD_WEIGHTS_LIMIT;
    assert_eq!(
        fixture.picked(Some(&prompt("s"))),
        None,
        "no request starts on them after the limit"
    );
}

#[test]
fn a_request_on_older_weights_has_a_start_deadline() {
    let mut fixture = Fixture::new(engine_service(), 1);
    let start_deadline = |fixture: &Fixture, version| {
        fixture.table.start_deadline(MODEL, version, OLD_WEIGHTS_LIMIT)
    };
    assert_eq!(start_deadline(&fixture, Some(1)), None, "the target version has no limit");
    fixture.table.set_target_version(fixture.now, MODEL.into(), 2, true);
    assert_eq!(start_deadline(&fixture, Some(2)), None);
    assert_eq!(start_deadline(&fixture, None), None);
    let at = start_deadline(&fixture, Some(1)).expect("older weights have a limit");
    assert!(at < fixture.now + OLD_WEIGHTS_LIMIT && at > fixture.now + OLD_WEIGHTS_LIMIT / 2);
    // A request sent this late could wait in a busy engine's queue until after the limit.
    fixture.now = at - Duration::from_millis(1_000);
    assert_eq!(fixture.picked(Some(&prompt("s"))), None);
}

/// Parts of version 1 were fetched again once version 3 was announced, while they were being
/// deleted. A daemon that starts late must not fetch them either.
#[test]
fn only_the_previous_weights_are_still_fetched_for_a_while() {
    struct Case {
        announced: &'static [u64],
        is_just_announced: bool,
        after: Duration,
        version: u64,
        is_fetched: bool,
    }
    const SOON: Duration = Duration::from_secs(1);
    const LATE: Duration = Duration::from_secs(2);
    #[rustfmt::skip]
    let cases = [
        Case { announced: &[], is_just_announced: true, after: LATE, version: 1, is_fetched: true },
        Case { announced: &[2], is_just_announced: true, after: SOON, version: 2, is_fetched: true },
        Case { announced: &[2], is_just_announced: true, after: LATE, version: 2, is_fetched: true },
        Case { announced: &[2], is_just_announced: true, after: SOON, version: 1, is_fetched: true },
        Case { announced: &[2], is_just_announced: true, after: LATE, version: 1, is_fetched: false },
        Case { announced: &[2, 3], is_just_announced: true, after: SOON, version: 2, is_fetched: true },
        Case { announced: &[2, 3], is_just_announced: true, after: SOON, version: 1, is_fetched: false },
        Case { announced: &[5], is_just_announced: true, after: SOON, version: 1, is_fetched: true },
        // A daemon that just started does not know how long ago the update was announced.
        Case { announced: &[2], is_just_announced: false, after: SOON, version: 1, is_fetched: false },
        Case { announced: &[2], is_just_announced: false, after: SOON, version: 2, is_fetched: true },
        Case { announced: &[2, 2], is_just_announced: true, after: SOON, version: 1, is_fetched: true },
    ];
    for case in cases {
        let mut fixture = Fixture::new(engine_service(), 1);
        for version in case.announced {
            fixture.table.set_target_version(
                fixture.now,
                MODEL.into(),
                *version,
                case.is_just_announced,
            );
        }
        let is_fetched = fixture.table.may_fetch(fixture.now + case.after, MODEL, case.version);
        assert_eq!(is_fetched, case.is_fetched, "{:?} {}", case.announced, case.version);
    }
    let mut frozen = Fixture::new(engine_service(), 1);
    frozen.table.set_target_version(frozen.now, MODEL.into(), 2, true);
    frozen.table.end_previous_version_fetches();
    assert!(!frozen.table.may_fetch(frozen.now, MODEL, 1));
    assert!(frozen.table.may_fetch(frozen.now, MODEL, 2));
}

/// Guards against a request that waits for a connection reaching an endpoint whose time to register
/// again has ended meanwhile.
#[test]
fn a_placed_request_is_not_sent_after_the_endpoint_was_to_be_removed() {
    let mut fixture = Fixture::new(plain_service(), 2);
    let picked = fixture.send(None).expect("an endpoint is free");
    let due = fixture.now + Duration::from_millis(200);
    fixture.table.remove_at(&picked.entry.id, due + Duration::from_secs(1));
    fixture.table.remove_at(&picked.entry.id, due);
    fixture.table.remove_at(&picked.entry.id, due + Duration::from_secs(2));
    let just_before = due - Duration::from_millis(1);
    assert!(fixture.table.still_accepts(just_before, &picked.entry));
    assert!(!fixture.table.still_accepts(due, &picked.entry));
    fixture.table.insert(due, picked.entry.clone());
    assert!(fixture.table.still_accepts(due, &picked.entry), "it registered again");
}

/// Guards against the rest of a stream reaching an endpoint that has another software version by then.
#[test]
fn a_placed_request_is_not_sent_after_the_endpoint_has_changed_its_version() {
    let mut fixture = Fixture::new(plain_service(), 1);
    let picked = fixture.send(None).expect("an endpoint is free");
    let changed = EndpointEntry { version: "v2".into(), ..picked.entry.clone() };
    fixture.table.insert(fixture.now, changed);
    assert!(!fixture.table.still_accepts(fixture.now, &picked.entry));
}

#[test]
fn a_restart_in_place_is_another_endpoint() {
    let mut fixture = Fixture::new(engine_service(), 1);
    fixture.table.set_target_version(fixture.now, MODEL.into(), 2, true);
    fixture.table.on_weights(fixture.now, "e0", &MODEL.into(), 2);
    let late = entry("e0", &fixture.service, "z0");
    fixture.table.insert(fixture.now, late.clone());
    assert_eq!(
        fixture.table.entry("e0").and_then(|entry| entry.version_of(MODEL)),
        Some(2),
        "a late entry does not undo a version seen in an answer"
    );
    fixture.table.insert(fixture.now, EndpointEntry { started_unix_ms: Some(2), ..late });
    assert_eq!(fixture.table.entry("e0").and_then(|entry| entry.version_of(MODEL)), Some(1));
}

#[test]
fn a_cold_endpoint_gets_its_share_and_the_others_the_rest() {
    let mut fixture = Fixture::new(engine_service(), 2);
    fixture.table.set_daemons(DaemonRanks::new("d0", ["d1", "d2", "d3"]));
    fixture.table.set_cold_bound(1.5, 5.0);
    let mut cold = entry("e0", &fixture.service, "z0");
    cold.cold_left = Duration::from_secs(3);
    cold.started_unix_ms = Some(2);
    fixture.table.insert(fixture.now, cold);
    let mut sent = 0;
    for ms in 0..2_000 {
        fixture.now += Duration::from_millis(1);
        let prompt = prompt(&format!("p{ms}"));
        let Some(picked) = fixture.send(Some(&prompt)) else { continue };
        fixture.table.on_request_done(&picked.entry.id, &picked.work, false);
        sent += usize::from(&*picked.entry.id == "e0");
    }
    // The limit is 10 requests per second over all four daemons. This one uses 80 % of a quarter,
    // which is 4 requests in two seconds, plus a burst of one.
    assert!((1..=5).contains(&sent), "{sent}");
}

#[test]
fn endpoints_are_expected_up_unless_they_leave_or_have_started_anew() {
    let now = Instant::now();
    let service = engine_service();
    let sent_to = entry("e0", &service, "z0");
    let mut table = EndpointTable::new("z0".into());
    assert!(!table.is_expected_up(&sent_to), "not registered");
    table.insert(now, sent_to.clone());
    assert!(table.is_expected_up(&sent_to));
    let draining = EndpointEntry { phase: EndpointPhase::Draining, ..sent_to.clone() };
    table.insert(now, draining);
    assert!(!table.is_expected_up(&sent_to), "about to leave");
    let restarted = EndpointEntry { started_unix_ms: Some(77), ..sent_to.clone() };
    table.insert(now, restarted.clone());
    assert!(!table.is_expected_up(&sent_to), "another process");
    assert!(table.is_expected_up(&restarted));
}

/// Guards against engines that idle after a change of weights, and against requests to engines that
/// still change theirs.
#[test]
fn a_backoff_for_new_weights_ends_with_them() {
    struct Case {
        name: &'static str,
        learn: fn(&mut Fixture),
        is_open: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "nothing heard", learn: |_| {}, is_open: false },
        Case {
            name: "an answer on the new weights",
            learn: |fixture| {
                fixture.table.on_weights(fixture.now, "e0", &MODEL.into(), 2);
            },
            is_open: true,
        },
        Case {
            name: "an entry with the new weights",
            learn: |fixture| {
                let mut new = entry("e0", &fixture.service, "z0");
                new.weights = vec![(MODEL.into(), 2)];
                fixture.table.insert(fixture.now, new);
            },
            is_open: true,
        },
        Case {
            name: "an entry with the old weights",
            learn: |fixture| {
                let old = entry("e0", &fixture.service, "z0");
                fixture.table.insert(fixture.now, old);
            },
            is_open: false,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(engine_service(), 2);
        fixture.table.set_target_version(fixture.now, MODEL.into(), 2, true);
        assert!(fixture.table.is_outdated("e0", MODEL), "{}", case.name);
        fixture.table.back_off("e0", fixture.now + Duration::from_secs(2));
        fixture.now += Duration::from_millis(500);
        (case.learn)(&mut fixture);
        let picked = fixture.pick(Some(&prompt("s")), &["e1".into()], 0);
        assert_eq!(matches!(picked, Pick::Endpoint(_)), case.is_open, "{}", case.name);
        assert_eq!(!fixture.table.is_outdated("e0", MODEL), case.is_open, "{}", case.name);
    }
}

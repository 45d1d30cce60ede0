//! Order policy: single writer, hand-over from a previous writer, and load slots.

use cassiagw_core::{
    ids::{ModelId, OrderedMap, VersionId},
    orders::{
        Desired, EngineState, OrderAction, OrderConfig, OrderOutcome, OrderPolicy, PreviousWriter,
        Step,
    },
    settings::{EndpointKind, ModelEntry, Serving, TeamEntry, TokenHash, Tree},
};
use proptest::prelude::*;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Input to a policy; times are in seconds since the start of the test.
#[derive(Clone)]
enum Event {
    Nothing,
    LeaseAcquired { fence: u64, until: u64 },
    LeaseAfterExpiry { fence: u64, until: u64 },
    LeaseDenied,
    LeaseRenewed { until: u64 },
    LeaseLost,
    State { fence: u64, versions: &'static [&'static str] },
    ReadFailed,
    CarriedOut { versions: &'static [&'static str] },
    Outcome { sent_at: u64, outcome: OrderOutcome },
    Slot { until: Option<u64> },
    SlotReleased,
    SetDesired(&'static [&'static str]),
}

struct Case {
    name: &'static str,
    checks_fencing: bool,
    script: Vec<(u64, Event, &'static str)>,
}

const MODEL: &str = "order-text";

fn names(versions: &[&str]) -> Vec<VersionId> {
    versions.iter().map(|name| VersionId::from(*name)).collect()
}

fn state(fence: u64, versions: &[&str]) -> EngineState {
    EngineState { fence, versions: names(versions), model: MODEL.into(), ..EngineState::default() }
}

fn desired(versions: &[&str]) -> Desired {
    Desired { model: MODEL.into(), versions: names(versions), adapters: Vec::new() }
}

fn describe(step: &Step, start: Instant) -> String {
    match step {
        Step::Wait(until) => format!("wait {}", (*until - start).as_secs()),
        Step::ReadState => "read".into(),
        Step::AcquireLease => "acquire lease".into(),
        Step::ReleaseLease => "release lease".into(),
        Step::AcquireSlot => "acquire slot".into(),
        Step::ReleaseSlot => "release slot".into(),
        Step::SendOrder(order) => match &order.action {
            OrderAction::LoadVersion { version, .. } => format!("{} load {version}", order.fence),
            OrderAction::UnloadVersion { version, .. } => {
                format!("{} unload {version}", order.fence)
            }
            other => format!("{} {other:?}", order.fence),
        },
    }
}

/// Default settings with a slot retry delay of 1 s: lease 10 s, order timeout 5 s, read back every
/// 5 s, unload after 15 s, retry after 1 s.
fn config(checks_fencing: bool) -> OrderConfig {
    OrderConfig { slot_retry_delay: Duration::from_secs(1), ..OrderConfig::default() }
        .with_checks_fencing(checks_fencing)
}

fn cases() -> Vec<Case> {
    use Event::*;
    const FOREVER: u64 = 1_000;
    let outcome = |sent_at, outcome| Outcome { sent_at, outcome };
    let read = |versions| State { fence: 3, versions };
    vec![
        Case {
            name: "no lease or slot is acquired without an order to send",
            checks_fencing: false,
            script: vec![(0, Nothing, "read"), (0, read(&["v1"]), "wait 5"), (5, Nothing, "read")],
        },
        Case {
            name: "no order unless the lease covers the order timeout",
            checks_fencing: true,
            script: vec![
                (0, read(&[]), "acquire slot"),
                (0, Slot { until: Some(FOREVER) }, "acquire lease"),
                (0, LeaseDenied, "wait 1"),
                (1, Nothing, "acquire lease"),
                (1, LeaseAcquired { fence: 7, until: 5 }, "read"),
                (1, read(&[]), "wait 5"),
                (2, LeaseRenewed { until: 7 }, "7 load v1"),
                (2, LeaseLost, "read"),
                (2, read(&[]), "acquire lease"),
            ],
        },
        Case {
            name: "a new version is loaded under a slot and the old one unloaded after the delay",
            checks_fencing: true,
            script: vec![
                (0, read(&["v1"]), "wait 5"),
                (1, SetDesired(&["v2"]), "acquire slot"),
                (1, Slot { until: None }, "wait 2"),
                (2, Slot { until: None }, "wait 4"),
                (4, Slot { until: Some(30) }, "acquire lease"),
                (4, LeaseAcquired { fence: 7, until: FOREVER }, "read"),
                (4, read(&["v1"]), "7 load v2"),
                (5, CarriedOut { versions: &["v1", "v2"] }, "release slot"),
                (5, SlotReleased, "release lease"),
                (5, LeaseLost, "read"),
                (10, read(&["v1", "v2"]), "wait 15"),
                (15, read(&["v1", "v2"]), "wait 20"),
                (20, read(&["v1", "v2"]), "acquire lease"),
                (20, LeaseAcquired { fence: 9, until: FOREVER }, "read"),
                (20, read(&["v1", "v2"]), "9 unload v1"),
                (20, CarriedOut { versions: &["v2"] }, "release lease"),
            ],
        },
        Case {
            name: "an engine that checks fencing tokens needs no wait after an expired lease",
            checks_fencing: true,
            script: vec![(0, LeaseAfterExpiry { fence: 7, until: FOREVER }, "read")],
        },
        Case {
            name: "an engine that ignores fencing tokens gets no order until those of the previous writer end",
            checks_fencing: false,
            script: vec![
                (0, read(&["v0"]), "acquire slot"),
                (0, Slot { until: Some(30) }, "acquire lease"),
                (0, LeaseAfterExpiry { fence: 7, until: FOREVER }, "release slot"),
                (0, SlotReleased, "wait 15"),
                (14, read(&["v0"]), "wait 15"),
                (15, Nothing, "read"),
                (15, read(&["v0"]), "acquire slot"),
                (15, Slot { until: Some(99) }, "7 load v1"),
                (16, CarriedOut { versions: &["v0", "v1"] }, "release slot"),
                // An order of the previous writer takes effect after its order timeout.
                (21, State { fence: 6, versions: &["v0"] }, "7 load v1"),
            ],
        },
        Case {
            name: "a higher fencing token in the state ends the lease",
            checks_fencing: false,
            script: vec![
                (0, LeaseAcquired { fence: 7, until: FOREVER }, "read"),
                (0, State { fence: 8, versions: &["v0"] }, "acquire slot"),
                (0, Slot { until: Some(30) }, "acquire lease"),
            ],
        },
        Case {
            name: "a rejected fencing token ends the lease",
            checks_fencing: true,
            script: vec![
                (0, Slot { until: Some(30) }, "read"),
                (0, LeaseAcquired { fence: 7, until: FOREVER }, "read"),
                (0, read(&[]), "7 load v1"),
                (1, outcome(0, OrderOutcome::OldFence), "wait 2"),
                (2, read(&[]), "acquire lease"),
            ],
        },
        Case {
            name: "after an unknown outcome the slot is kept until the timeout, then the state is read",
            checks_fencing: true,
            script: vec![
                (0, Slot { until: Some(30) }, "read"),
                (0, LeaseAcquired { fence: 7, until: FOREVER }, "read"),
                (0, read(&[]), "7 load v1"),
                (2, outcome(0, OrderOutcome::Unknown), "wait 5"),
                (4, read(&["v1"]), "wait 5"),
                (5, Nothing, "read"),
                (5, State { fence: 7, versions: &["v1"] }, "release slot"),
            ],
        },
        Case {
            name: "a slot that may expire during the load is requested again",
            checks_fencing: true,
            script: vec![
                (0, LeaseAcquired { fence: 7, until: FOREVER }, "read"),
                (0, read(&[]), "acquire slot"),
                (0, Slot { until: Some(4) }, "acquire slot"),
            ],
        },
        Case {
            name: "unloads come first if the engine has no space",
            checks_fencing: true,
            script: vec![
                (0, SetDesired(&["v1", "v2"]), "read"),
                (0, LeaseAcquired { fence: 7, until: FOREVER }, "read"),
                (0, read(&["v0", "v1"]), "acquire slot"),
                (0, Slot { until: Some(90) }, "7 load v2"),
                (0, outcome(0, OrderOutcome::NoRoom), "wait 1"),
                (1, Nothing, "read"),
                (1, State { fence: 7, versions: &["v0", "v1"] }, "7 unload v0"),
                (1, CarriedOut { versions: &["v1"] }, "7 load v2"),
            ],
        },
        Case {
            name: "a load without space and nothing to unload is retried later",
            checks_fencing: true,
            script: vec![
                (0, LeaseAcquired { fence: 7, until: FOREVER }, "read"),
                (0, Slot { until: Some(90) }, "read"),
                (0, read(&[]), "7 load v1"),
                (0, outcome(0, OrderOutcome::NoRoom), "wait 15"),
            ],
        },
        Case {
            name: "the last version stays loaded although it is not desired",
            checks_fencing: true,
            script: vec![
                (0, SetDesired(&[]), "read"),
                (0, read(&["v0"]), "wait 5"),
                (99, read(&["v0"]), "wait 104"),
            ],
        },
        Case {
            name: "retry delay after failures",
            checks_fencing: true,
            script: vec![
                (0, ReadFailed, "wait 1"),
                (1, Slot { until: Some(90) }, "read"),
                (1, LeaseAcquired { fence: 7, until: FOREVER }, "read"),
                (1, read(&[]), "7 load v1"),
                (2, outcome(1, OrderOutcome::Refused), "wait 3"),
                (3, Nothing, "read"),
            ],
        },
    ]
}

fn apply(policy: &mut OrderPolicy, wanted: &mut Desired, start: Instant, at: u64, event: Event) {
    let time = |seconds| start + Duration::from_secs(seconds);
    let now = time(at);
    match event {
        Event::Nothing => {}
        Event::LeaseAcquired { fence, until } => {
            policy.on_lease_acquired(now, fence, time(until), PreviousWriter::Released);
        }
        Event::LeaseAfterExpiry { fence, until } => {
            policy.on_lease_acquired(now, fence, time(until), PreviousWriter::Expired);
        }
        Event::LeaseDenied => policy.on_lease_denied(now),
        Event::LeaseRenewed { until } => policy.on_lease_renewed(time(until)),
        Event::LeaseLost => policy.on_lease_lost(),
        Event::State { fence, versions } => policy.on_state_read(now, Some(state(fence, versions))),
        Event::ReadFailed => policy.on_state_read(now, None),
        Event::CarriedOut { versions } => {
            policy.on_order_outcome(now, now, OrderOutcome::CarriedOut(state(7, versions)));
        }
        Event::Outcome { sent_at, outcome } => policy.on_order_outcome(now, time(sent_at), outcome),
        Event::Slot { until } => policy.on_slot_result(now, until.map(time)),
        Event::SlotReleased => policy.on_slot_released(now),
        Event::SetDesired(versions) => *wanted = desired(versions),
    }
}

#[test]
fn steps_follow_lease_state_and_slots() {
    for Case { name, checks_fencing, script } in cases() {
        let start = Instant::now();
        let mut policy = OrderPolicy::new(start, config(checks_fencing));
        let mut wanted = desired(&["v1"]);
        for (line, (at, event, expected)) in script.into_iter().enumerate() {
            apply(&mut policy, &mut wanted, start, at, event);
            let step = policy.step(start + Duration::from_secs(at), &wanted);
            assert_eq!(describe(&step, start), expected, "{name}, line {line}");
        }
    }
}

#[test]
fn desired_state_follows_the_settings() {
    let model = ModelId::from(MODEL);
    let entry = ModelEntry {
        kind: EndpointKind::Engine,
        versions: names(&["v1", "v2", "v3", "v4"]).into_iter().collect(),
        adapters: ["a".into()].into(),
        default_version: Some("v1".into()),
        piece_tokens: 1_000,
    };
    let serving = |version: &str, adapter: Option<&str>| Serving {
        version: Some(version.into()),
        adapter: adapter.map(Into::into),
        priority: Default::default(),
        deadline_ms: None,
    };
    let access = |models: &[&str], versions: &[&str]| TeamEntry {
        workspace: "w".into(),
        token: TokenHash::of("t"),
        models: names(models).into_iter().collect(),
        adapters: BTreeSet::new(),
        versions: names(versions).into_iter().collect(),
    };
    let tree = Tree {
        models: OrderedMap::from_iter([(model.clone(), entry)]),
        access: OrderedMap::from_iter([
            ("crews".into(), access(&[MODEL], &["v3", "v1"])),
            ("guides".into(), access(&["other"], &["v4"])),
        ]),
        serving: OrderedMap::from_iter([
            (("crews".into(), model.clone()), serving("v2", Some("a"))),
            (("guides".into(), model.clone()), serving("v9", Some("b"))),
            (("guides".into(), "other".into()), serving("v3", None)),
        ]),
        ..Tree::default()
    };
    let wanted = Desired::of(&tree, &model).expect("the model is in the settings");
    assert_eq!(wanted.versions, names(&["v1", "v2", "v3"]));
    assert_eq!(wanted.adapters, names(&["a"]));
    assert_eq!(Desired::of(&tree, &"gone".into()), None);
}

/// Simulates a takeover on an engine that does not check fencing tokens, after the previous
/// writer's lease expired. That writer was paused, so one of its orders takes effect
/// `takes_effect_s` seconds after the takeover. The successor must not send an order before that,
/// and the engine must end in the state that the successor desires.
fn run_takeover(takes_effect_s: u64, wants: &'static [&'static str]) {
    let start = Instant::now();
    let takes_effect_at = start + Duration::from_secs(takes_effect_s);
    let end = start + Duration::from_secs(120);
    let late_order = OrderAction::UnloadVersion { model: MODEL.into(), version: "v1".into() };
    let wanted = desired(wants);
    let mut engine = names(&["v0", "v1"]);
    let mut has_taken_effect = false;
    let mut policy = OrderPolicy::new(start, config(false));
    policy.on_lease_acquired(start, 2, end, PreviousWriter::Expired);
    let mut now = start;
    while now < end {
        if !has_taken_effect && now >= takes_effect_at {
            has_taken_effect = true;
            execute(&mut engine, &late_order);
        }
        let loaded = EngineState { versions: engine.clone(), ..state(2, &[]) };
        match policy.step(now, &wanted) {
            Step::Wait(until) => now = until,
            Step::ReadState => policy.on_state_read(now, Some(loaded)),
            Step::AcquireLease => policy.on_lease_acquired(now, 3, end, PreviousWriter::Released),
            Step::ReleaseLease => policy.on_lease_lost(),
            Step::AcquireSlot => policy.on_slot_result(now, Some(now + Duration::from_secs(60))),
            Step::ReleaseSlot => policy.on_slot_released(now),
            Step::SendOrder(order) => {
                assert!(
                    has_taken_effect,
                    "order sent while one of the previous writer was in flight"
                );
                execute(&mut engine, &order.action);
                let loaded = EngineState { versions: engine.clone(), ..state(2, &[]) };
                policy.on_order_outcome(now, now, OrderOutcome::CarriedOut(loaded));
            }
        }
    }
    engine.sort();
    assert_eq!(engine, wanted.versions);
}

fn execute(engine: &mut Vec<VersionId>, action: &OrderAction) {
    match action {
        OrderAction::LoadVersion { version, .. } => engine.push(version.clone()),
        OrderAction::UnloadVersion { version, .. } => engine.retain(|known| known != version),
        _ => {}
    }
}

proptest! {
    #[test]
    fn successor_waits_for_late_orders_and_sets_the_final_state(
        takes_effect_s in 0_u64..=15,
        wanted in prop::sample::select(vec![&["v1"][..], &["v0"], &["v1", "v2"], &["v0", "v2"]]),
    ) {
        run_takeover(takes_effect_s, wanted);
    }
}

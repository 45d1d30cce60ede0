//! Orders to an engine: one writer, waiting out its predecessor, and places for loading.

use cassiagw_core::{
    ids::{ModelId, OrderedMap, VersionId},
    orders::{
        Desired, EngineState, OrderAction, OrderConfig, OrderOutcome, OrderPolicy, Predecessor,
        Step,
    },
    settings::{EndpointKind, ModelEntry, Serving, TeamEntry, TokenHash, Tree},
};
use proptest::prelude::*;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// What happens to a policy; times are in seconds since its start.
#[derive(Clone)]
enum Event {
    Nothing,
    Tenure { fence: u64, until: u64 },
    Successor { fence: u64, until: u64 },
    Busy,
    Renewed { until: u64 },
    Lost,
    State { fence: u64, versions: &'static [&'static str] },
    Unread,
    CarriedOut { versions: &'static [&'static str] },
    Outcome { sent_at: u64, outcome: OrderOutcome },
    Slot { until: Option<u64> },
    SlotReturned,
    Desire(&'static [&'static str]),
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

fn shown(step: &Step, start: Instant) -> String {
    match step {
        Step::Wait(until) => format!("wait {}", (*until - start).as_secs()),
        Step::ReadState => "read".into(),
        Step::TakeTenure => "take tenure".into(),
        Step::ReturnTenure => "return tenure".into(),
        Step::TakeSlot => "take slot".into(),
        Step::ReturnSlot => "return slot".into(),
        Step::Give(order) => match &order.action {
            OrderAction::LoadVersion { version, .. } => format!("{} load {version}", order.fence),
            OrderAction::UnloadVersion { version, .. } => {
                format!("{} unload {version}", order.fence)
            }
            other => format!("{} {other:?}", order.fence),
        },
    }
}

/// Lease 10 s, order timeout 5 s, read back every 5 s, unload after 15 s, pauses of 1 s.
fn config(checks_fencing: bool) -> OrderConfig {
    OrderConfig { slot_pause: Duration::from_secs(1), ..OrderConfig::default() }
        .with_checks_fencing(checks_fencing)
}

fn cases() -> Vec<Case> {
    use Event::*;
    const FOREVER: u64 = 1_000;
    let outcome = |sent_at, outcome| Outcome { sent_at, outcome };
    let read = |versions| State { fence: 3, versions };
    vec![
        Case {
            name: "nothing is taken while nothing is to be done",
            checks_fencing: false,
            script: vec![(0, Nothing, "read"), (0, read(&["v1"]), "wait 5"), (5, Nothing, "read")],
        },
        Case {
            name: "no order without a lease that outlasts it",
            checks_fencing: true,
            script: vec![
                (0, read(&[]), "take slot"),
                (0, Slot { until: Some(FOREVER) }, "take tenure"),
                (0, Busy, "wait 1"),
                (1, Nothing, "take tenure"),
                (1, Tenure { fence: 7, until: 5 }, "read"),
                (1, read(&[]), "wait 5"),
                (2, Renewed { until: 7 }, "7 load v1"),
                (2, Lost, "read"),
                (2, read(&[]), "take tenure"),
            ],
        },
        Case {
            name: "a new version is loaded with a place and the old one is unloaded later",
            checks_fencing: true,
            script: vec![
                (0, read(&["v1"]), "wait 5"),
                (1, Desire(&["v2"]), "take slot"),
                (1, Slot { until: None }, "wait 2"),
                (2, Slot { until: None }, "wait 4"),
                (4, Slot { until: Some(30) }, "take tenure"),
                (4, Tenure { fence: 7, until: FOREVER }, "read"),
                (4, read(&["v1"]), "7 load v2"),
                (5, CarriedOut { versions: &["v1", "v2"] }, "return slot"),
                (5, SlotReturned, "return tenure"),
                (5, Lost, "read"),
                (10, read(&["v1", "v2"]), "wait 15"),
                (15, read(&["v1", "v2"]), "wait 20"),
                (20, read(&["v1", "v2"]), "take tenure"),
                (20, Tenure { fence: 9, until: FOREVER }, "read"),
                (20, read(&["v1", "v2"]), "9 unload v1"),
                (20, CarriedOut { versions: &["v2"] }, "return tenure"),
            ],
        },
        Case {
            name: "an engine that checks fences needs no wait after a lapsed writer",
            checks_fencing: true,
            script: vec![(0, Successor { fence: 7, until: FOREVER }, "read")],
        },
        Case {
            name: "one that does not is left alone until the predecessor's orders are over",
            checks_fencing: false,
            script: vec![
                (0, read(&["v0"]), "take slot"),
                (0, Slot { until: Some(30) }, "take tenure"),
                (0, Successor { fence: 7, until: FOREVER }, "return slot"),
                (0, SlotReturned, "wait 15"),
                (14, read(&["v0"]), "wait 15"),
                (15, Nothing, "read"),
                (15, read(&["v0"]), "take slot"),
                (15, Slot { until: Some(99) }, "7 load v1"),
                (16, CarriedOut { versions: &["v0", "v1"] }, "return slot"),
                // An order of the predecessor arrives although its time is over.
                (21, State { fence: 6, versions: &["v0"] }, "7 load v1"),
            ],
        },
        Case {
            name: "a newer writer ends the tenure",
            checks_fencing: false,
            script: vec![
                (0, Tenure { fence: 7, until: FOREVER }, "read"),
                (0, State { fence: 8, versions: &["v0"] }, "take slot"),
                (0, Slot { until: Some(30) }, "take tenure"),
            ],
        },
        Case {
            name: "an old fence ends the tenure",
            checks_fencing: true,
            script: vec![
                (0, Slot { until: Some(30) }, "read"),
                (0, Tenure { fence: 7, until: FOREVER }, "read"),
                (0, read(&[]), "7 load v1"),
                (1, outcome(0, OrderOutcome::OldFence), "wait 2"),
                (2, read(&[]), "take tenure"),
            ],
        },
        Case {
            name: "an unknown outcome is waited out with the place held, then read back",
            checks_fencing: true,
            script: vec![
                (0, Slot { until: Some(30) }, "read"),
                (0, Tenure { fence: 7, until: FOREVER }, "read"),
                (0, read(&[]), "7 load v1"),
                (2, outcome(0, OrderOutcome::Unknown), "wait 5"),
                (4, read(&["v1"]), "wait 5"),
                (5, Nothing, "read"),
                (5, State { fence: 7, versions: &["v1"] }, "return slot"),
            ],
        },
        Case {
            name: "a place that may lapse during the load is taken anew",
            checks_fencing: true,
            script: vec![
                (0, Tenure { fence: 7, until: FOREVER }, "read"),
                (0, read(&[]), "take slot"),
                (0, Slot { until: Some(4) }, "take slot"),
            ],
        },
        Case {
            name: "room is made at once where it is lacking",
            checks_fencing: true,
            script: vec![
                (0, Desire(&["v1", "v2"]), "read"),
                (0, Tenure { fence: 7, until: FOREVER }, "read"),
                (0, read(&["v0", "v1"]), "take slot"),
                (0, Slot { until: Some(90) }, "7 load v2"),
                (0, outcome(0, OrderOutcome::NoRoom), "wait 1"),
                (1, Nothing, "read"),
                (1, State { fence: 7, versions: &["v0", "v1"] }, "7 unload v0"),
                (1, CarriedOut { versions: &["v1"] }, "7 load v2"),
            ],
        },
        Case {
            name: "what finds no room at all is tried again later",
            checks_fencing: true,
            script: vec![
                (0, Tenure { fence: 7, until: FOREVER }, "read"),
                (0, Slot { until: Some(90) }, "read"),
                (0, read(&[]), "7 load v1"),
                (0, outcome(0, OrderOutcome::NoRoom), "wait 15"),
            ],
        },
        Case {
            name: "the last version stays though nobody wants it",
            checks_fencing: true,
            script: vec![
                (0, Desire(&[]), "read"),
                (0, read(&["v0"]), "wait 5"),
                (99, read(&["v0"]), "wait 104"),
            ],
        },
        Case {
            name: "failures pause",
            checks_fencing: true,
            script: vec![
                (0, Unread, "wait 1"),
                (1, Slot { until: Some(90) }, "read"),
                (1, Tenure { fence: 7, until: FOREVER }, "read"),
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
        Event::Tenure { fence, until } => {
            policy.on_tenure(now, fence, time(until), Predecessor::Finished);
        }
        Event::Successor { fence, until } => {
            policy.on_tenure(now, fence, time(until), Predecessor::Lapsed);
        }
        Event::Busy => policy.on_tenure_refused(now),
        Event::Renewed { until } => policy.on_renewed(time(until)),
        Event::Lost => policy.on_tenure_lost(),
        Event::State { fence, versions } => policy.on_state(now, Some(state(fence, versions))),
        Event::Unread => policy.on_state(now, None),
        Event::CarriedOut { versions } => {
            policy.on_order(now, now, OrderOutcome::CarriedOut(state(7, versions)));
        }
        Event::Outcome { sent_at, outcome } => policy.on_order(now, time(sent_at), outcome),
        Event::Slot { until } => policy.on_slot(now, until.map(time)),
        Event::SlotReturned => policy.on_slot_returned(now),
        Event::Desire(versions) => *wanted = desired(versions),
    }
}

#[test]
fn steps_follow_the_lease_the_state_and_the_places() {
    for Case { name, checks_fencing, script } in cases() {
        let start = Instant::now();
        let mut policy = OrderPolicy::new(start, config(checks_fencing));
        let mut wanted = desired(&["v1"]);
        for (line, (at, event, expected)) in script.into_iter().enumerate() {
            apply(&mut policy, &mut wanted, start, at, event);
            let step = policy.step(start + Duration::from_secs(at), &wanted);
            assert_eq!(shown(&step, start), expected, "{name}, line {line}");
        }
    }
}

#[test]
fn settings_say_what_is_wanted() {
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
    let wanted = Desired::of(&tree, &model).expect("the model is known");
    assert_eq!(wanted.versions, names(&["v1", "v2", "v3"]));
    assert_eq!(wanted.adapters, names(&["a"]));
    assert_eq!(Desired::of(&tree, &"gone".into()), None);
}

/// A writer takes over an engine that ignores fences, after its predecessor's lease ran out. The
/// predecessor was paused, so an order of it lands as late as `lands_s` after that. The successor
/// must give no order before, and have the last word.
fn run_succession(lands_s: u64, wants: &'static [&'static str]) {
    let start = Instant::now();
    let lands_at = start + Duration::from_secs(lands_s);
    let end = start + Duration::from_secs(120);
    let late = OrderAction::UnloadVersion { model: MODEL.into(), version: "v1".into() };
    let wanted = desired(wants);
    let mut engine = names(&["v0", "v1"]);
    let mut has_landed = false;
    let mut policy = OrderPolicy::new(start, config(false));
    policy.on_tenure(start, 2, end, Predecessor::Lapsed);
    let mut now = start;
    while now < end {
        if !has_landed && now >= lands_at {
            has_landed = true;
            carry_out(&mut engine, &late);
        }
        let loaded = EngineState { versions: engine.clone(), ..state(2, &[]) };
        match policy.step(now, &wanted) {
            Step::Wait(until) => now = until,
            Step::ReadState => policy.on_state(now, Some(loaded)),
            Step::TakeTenure => policy.on_tenure(now, 3, end, Predecessor::Finished),
            Step::ReturnTenure => policy.on_tenure_lost(),
            Step::TakeSlot => policy.on_slot(now, Some(now + Duration::from_secs(60))),
            Step::ReturnSlot => policy.on_slot_returned(now),
            Step::Give(order) => {
                assert!(has_landed, "an order was given while the predecessor's was under way");
                carry_out(&mut engine, &order.action);
                let loaded = EngineState { versions: engine.clone(), ..state(2, &[]) };
                policy.on_order(now, now, OrderOutcome::CarriedOut(loaded));
            }
        }
    }
    engine.sort();
    assert_eq!(engine, wanted.versions);
}

fn carry_out(engine: &mut Vec<VersionId>, action: &OrderAction) {
    match action {
        OrderAction::LoadVersion { version, .. } => engine.push(version.clone()),
        OrderAction::UnloadVersion { version, .. } => engine.retain(|known| known != version),
        _ => {}
    }
}

proptest! {
    #[test]
    fn successor_has_the_last_word(
        lands_s in 0_u64..=15,
        wanted in prop::sample::select(vec![&["v1"][..], &["v0"], &["v1", "v2"], &["v0", "v2"]]),
    ) {
        run_succession(lands_s, wanted);
    }
}

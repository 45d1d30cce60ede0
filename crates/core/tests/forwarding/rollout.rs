//! What versions may get by order and record, the leader's steps, and merging of statements.

use super::rollout_fleet::LIMITS;
use cassiagw_core::{
    forwarding::{
        AnswerOrigin, AnswerOutcome, EndpointCounts, RolloutInputs, RolloutOrder, RolloutPhase,
        RolloutReason, RolloutRecord, RolloutState, RolloutStatement, RolloutVerdict,
        ServiceRollout, StorePosition, VersionGate,
    },
    ids::{HostId, ServiceVersion, ZoneId},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use RolloutPhase::{Completed, DrainOld, RolledBack, Shift, Trial};

const DURATION: Duration = Duration::from_secs(12);

fn version(name: &str) -> ServiceVersion {
    name.into()
}

fn order(target: &str, revision: u64) -> RolloutOrder {
    RolloutOrder {
        target: target.into(),
        duration: DURATION,
        written_at: StorePosition::new(1, revision),
    }
}

fn record(target: &str, revision: u64, phase: RolloutPhase) -> RolloutRecord {
    RolloutRecord::new(StorePosition::new(1, revision), target.into(), phase, 1)
}

fn rollout_of(daemon: &str, boot: u64) -> ServiceRollout {
    ServiceRollout::new("s".into(), daemon.into(), boot, LIMITS)
}

fn running(now: Instant, phase: RolloutPhase) -> ServiceRollout {
    let mut rollout = rollout_of("d0", 1);
    rollout.on_order(now, Some(order("v2", 10)));
    rollout.on_record(now, record("v2", 10, phase));
    rollout
}

fn inputs() -> RolloutInputs {
    RolloutInputs {
        fence: 7,
        target: EndpointCounts { ready: 4, warm: 4 },
        old: EndpointCounts { ready: 4, warm: 4 },
        needed: None,
        have_all_seen_record: true,
        old_in_flight: Some(0),
        is_in_flight_idempotent: false,
        is_view_current: true,
        since_order: Duration::ZERO,
        longest_timeout: Duration::from_secs(15),
    }
}

fn good(ms: u64) -> AnswerOutcome {
    AnswerOutcome::Good { first_byte: Duration::from_millis(ms) }
}

const BAD: AnswerOutcome = AnswerOutcome::Bad { first_byte: None };

fn answer(rollout: &mut ServiceRollout, now: Instant, of: &str, count: usize, is: AnswerOutcome) {
    let route: Arc<str> = "/r".into();
    for _ in 0..count {
        rollout.on_answer(now, &route, &version(of), is);
    }
}

/// Guards against a version that gets requests although no order permits it, or gets none although
/// it must carry the load.
#[test]
fn gates_follow_order_and_record() {
    struct Case {
        name: &'static str,
        orders: Vec<Option<RolloutOrder>>,
        records: Vec<RolloutRecord>,
        /// Gates of v1, v2 and v3.
        gates: [VersionGate; 3],
    }
    use VersionGate::{Closed, Open, Trial as OnTrial};
    let v2 = || Some(order("v2", 10));
    let v3 = || Some(order("v3", 20));
    let based =
        |phase, base: &str| RolloutRecord { base: Some(base.into()), ..record("v3", 20, phase) };
    let closing = |phase| RolloutRecord { closed: vec!["v2".into()], ..record("v3", 20, phase) };
    let case = |name, orders, records, gates| Case { name, orders, records, gates };
    let cases = [
        case("nothing known", vec![], vec![], [Open, Open, Open]),
        case("no order", vec![None], vec![], [Open, Open, Open]),
        case("order without record", vec![v2()], vec![], [Open, OnTrial, Open]),
        case("trial", vec![v2()], vec![record("v2", 10, Trial)], [Open, OnTrial, Open]),
        case("shift", vec![v2()], vec![record("v2", 10, Shift)], [Open, Open, Open]),
        case("drain", vec![v2()], vec![record("v2", 10, DrainOld)], [Closed, Open, Closed]),
        case("completed", vec![v2()], vec![record("v2", 10, Completed)], [Closed, Open, Closed]),
        case("rolled back", vec![v2()], vec![record("v2", 10, RolledBack)], [Open, Closed, Open]),
        case("record before order", vec![], vec![record("v2", 10, Trial)], [Open, OnTrial, Open]),
        case("withdrawn in trial", vec![None], vec![record("v2", 10, Trial)], [Open, Closed, Open]),
        case(
            "withdrawn in drain, not yet rolled back",
            vec![None],
            vec![record("v2", 10, DrainOld)],
            [Closed, Open, Closed],
        ),
        case(
            "completed, order removed",
            vec![None],
            vec![record("v2", 10, Completed)],
            [Closed, Open, Closed],
        ),
        case(
            "order changed in shift",
            vec![v2(), v3()],
            vec![record("v2", 10, Shift)],
            [Open, Closed, OnTrial],
        ),
        case(
            "order changed after completion",
            vec![v2(), v3()],
            vec![record("v2", 10, Completed)],
            [Closed, Open, OnTrial],
        ),
        case(
            "restarted in the trial after a completion",
            vec![v3()],
            vec![based(Trial, "v2")],
            [Closed, Open, OnTrial],
        ),
        case(
            "rolled back to the last completed",
            vec![v3()],
            vec![based(RolledBack, "v2")],
            [Closed, Open, Closed],
        ),
        case(
            "restarted in the trial after a rollback",
            vec![v3()],
            vec![closing(Trial)],
            [Open, Closed, OnTrial],
        ),
        case(
            "order back to the completed version",
            vec![v3(), Some(order("v2", 30))],
            vec![based(Trial, "v2")],
            [Closed, Open, Closed],
        ),
        case(
            "repeated after completion",
            vec![Some(order("v2", 30))],
            vec![record("v2", 10, Completed)],
            [Closed, Open, Closed],
        ),
        case(
            "repeated after rollback",
            vec![Some(order("v2", 30))],
            vec![record("v2", 10, RolledBack)],
            [Open, OnTrial, Open],
        ),
        case(
            "restored store shows an earlier phase",
            vec![v2()],
            vec![record("v2", 10, Shift), record("v2", 10, Trial)],
            [Open, Open, Open],
        ),
        case(
            "rolled back beats drain",
            vec![v2()],
            vec![record("v2", 10, RolledBack), record("v2", 10, DrainOld)],
            [Open, Closed, Open],
        ),
        case(
            "completed beats rolled back",
            vec![v2()],
            vec![record("v2", 10, Completed), record("v2", 10, RolledBack)],
            [Closed, Open, Closed],
        ),
        case(
            "restored store shows the order in a later era",
            vec![
                v2(),
                Some(RolloutOrder { written_at: StorePosition::new(2, 10), ..order("v2", 10) }),
            ],
            vec![record("v2", 10, Shift)],
            [Open, Open, Open],
        ),
        case(
            "late record of an earlier order",
            vec![v3()],
            vec![record("v3", 20, Shift), record("v2", 10, Completed)],
            [Open, Open, Open],
        ),
    ];
    for case in cases {
        let now = Instant::now();
        let mut rollout = rollout_of("d0", 1);
        let mut orders = case.orders.into_iter();
        if let Some(first) = orders.next() {
            rollout.on_order(now, first);
        }
        for record in case.records {
            rollout.on_record(now, record);
        }
        for order in orders {
            rollout.on_order(now, order);
        }
        let gates = ["v1", "v2", "v3"].map(|name| rollout.gate(&version(name)));
        assert_eq!(gates, case.gates, "{}", case.name);
    }
}

/// Guards against phases that begin too early, too late or in the wrong order.
#[test]
fn leader_steps() {
    struct Case {
        name: &'static str,
        phase: RolloutPhase,
        /// Time since order and record, in milliseconds.
        after_ms: u64,
        /// Answers of old versions, of the target, and bad ones of the target.
        answers: [usize; 3],
        inputs: RolloutInputs,
        step: Option<(RolloutPhase, RolloutReason)>,
    }
    use RolloutReason::{
        BadAnswers, BadSigns, DurationEnds, EnoughEndpoints, GoodAnswers, LongestTimeout,
        NoOldEndpoints, NothingInFlight, TimeForShift, TimeForTrial,
    };
    let case = |name, phase, after_ms, answers, inputs, step| Case {
        name,
        phase,
        after_ms,
        answers,
        inputs,
        step,
    };
    let well = [500, 40, 0];
    let few = [500, 5, 0];
    let signs = [500, 30, 3];
    let bad = [500, 30, 10];
    let target = |ready, warm| RolloutInputs { target: EndpointCounts { ready, warm }, ..inputs() };
    let stale = || RolloutInputs { is_view_current: false, ..inputs() };
    let flying = || RolloutInputs { old_in_flight: Some(3), ..inputs() };
    let unknown = || RolloutInputs { old_in_flight: None, ..inputs() };
    let unseen = || RolloutInputs { have_all_seen_record: false, ..inputs() };
    let repeatable = || RolloutInputs { is_in_flight_idempotent: true, ..flying() };
    let alone = || RolloutInputs { old: EndpointCounts::default(), ..inputs() };
    let timed = |ms| RolloutInputs { longest_timeout: Duration::from_millis(ms), ..flying() };
    let cases = [
        case("good but early", Trial, 1_000, well, inputs(), None),
        case("good", Trial, 4_500, well, inputs(), Some((Shift, GoodAnswers))),
        case("good, view not current", Trial, 4_500, well, stale(), None),
        case("few answers", Trial, 5_500, few, inputs(), None),
        case("few answers, time is over", Trial, 6_000, few, inputs(), Some((Shift, TimeForTrial))),
        case("no endpoints", Trial, 11_000, [500, 0, 0], target(0, 0), None),
        case("no old endpoints", Trial, 100, [0; 3], alone(), Some((Shift, NoOldEndpoints))),
        case("old endpoints lost for a moment", Trial, 3_000, few, alone(), None),
        case("signs", Trial, 6_500, signs, inputs(), None),
        case("signs, time is over", Trial, 9_700, signs, inputs(), Some((RolledBack, BadSigns))),
        case("bad", Trial, 100, bad, inputs(), Some((RolledBack, BadAnswers))),
        case("bad without store", Trial, 100, bad, stale(), Some((RolledBack, BadAnswers))),
        case("shift just begun", Shift, 1_000, well, inputs(), None),
        case("endpoints", Shift, 2_000, well, inputs(), Some((DrainOld, EnoughEndpoints))),
        case("cold endpoints", Shift, 2_000, well, target(4, 1), None),
        case("half of them", Shift, 6_100, well, target(2, 1), Some((DrainOld, TimeForShift))),
        case("too few", Shift, 6_100, well, target(1, 1), None),
        case("too few, late", Shift, 8_500, well, target(1, 1), Some((DrainOld, TimeForShift))),
        case("none left", Shift, 8_500, well, target(0, 0), None),
        case("bad in shift", Shift, 2_000, bad, inputs(), Some((RolledBack, BadAnswers))),
        case("signs in shift", Shift, 2_000, signs, inputs(), None),
        case("drain just begun", DrainOld, 500, well, inputs(), None),
        case("drained", DrainOld, 2_000, well, inputs(), Some((Completed, NothingInFlight))),
        case("in flight", DrainOld, 2_000, well, flying(), None),
        case("not all known", DrainOld, 2_000, well, unknown(), None),
        case("record not seen by all", DrainOld, 2_000, well, unseen(), None),
        case("timeout", DrainOld, 3_000, well, timed(3_000), Some((Completed, LongestTimeout))),
        case("timeout not over", DrainOld, 10_900, well, timed(30_000), None),
        case("bounded wait", DrainOld, 15_000, well, timed(30_000), {
            Some((Completed, LongestTimeout))
        }),
        case("repeatable", DrainOld, 10_800, well, repeatable(), Some((Completed, DurationEnds))),
        case("not repeatable", DrainOld, 10_900, well, flying(), None),
        case("bad in drain", DrainOld, 2_000, bad, inputs(), Some((RolledBack, BadAnswers))),
        case("completed", Completed, 2_000, bad, inputs(), None),
        case("rolled back", RolledBack, 2_000, well, inputs(), None),
    ];
    for case in cases {
        let start = Instant::now();
        let mut rollout = running(start, case.phase);
        let [old, new, failed] = case.answers;
        answer(&mut rollout, start, "v1", old, good(20));
        answer(&mut rollout, start, "v2", new, good(20));
        answer(&mut rollout, start, "v2", failed, BAD);
        let now = start + Duration::from_millis(case.after_ms);
        let step = rollout.next_step(now, &case.inputs);
        let found = step.as_ref().map(|step| (step.record.phase, step.reason));
        assert_eq!(found, case.step, "{}", case.name);
        if let Some(step) = step {
            assert_eq!(step.record.fence, 7, "{}", case.name);
        }
    }
}

/// Guards against a new order that continues the record of an earlier one, or forgets what earlier
/// rollouts closed.
#[test]
fn first_record_of_an_order() {
    struct Case {
        name: &'static str,
        known: Option<RolloutRecord>,
        order: RolloutOrder,
        step: Option<RolloutRecord>,
    }
    let with = |phase, base: Option<&str>, closed: &[&str]| {
        let closed = closed.iter().map(|&name| name.into()).collect();
        Some(RolloutRecord {
            base: base.map(Into::into),
            closed,
            fence: 7,
            ..record("v3", 20, phase)
        })
    };
    let case = |name, known, order, step| Case { name, known, order, step };
    let v3 = || order("v3", 20);
    let cases = [
        case("first", None, v3(), with(Trial, None, &[])),
        case("after completion", Some(record("v2", 10, Completed)), v3(), {
            with(Trial, Some("v2"), &[])
        }),
        case("after rollback", Some(record("v2", 10, RolledBack)), v3(), {
            with(Trial, None, &["v2"])
        }),
        case("while running", Some(record("v2", 10, Shift)), v3(), with(Trial, None, &["v2"])),
        case("again after rollback", Some(record("v3", 10, RolledBack)), v3(), {
            with(Trial, None, &[])
        }),
        case("again after completion", Some(record("v3", 10, Completed)), v3(), {
            with(Completed, None, &[])
        }),
    ];
    for case in cases {
        let now = Instant::now();
        let mut rollout = rollout_of("d0", 1);
        rollout.on_order(now, Some(case.order));
        if let Some(known) = case.known {
            rollout.on_record(now, known);
        }
        let step = rollout.next_step(now, &inputs());
        assert_eq!(step.map(|step| step.record), case.step, "{}", case.name);
    }
}

/// Guards against a withdrawn order whose target goes on getting requests.
#[test]
fn withdrawn_order_is_rolled_back() {
    let now = Instant::now();
    let mut rollout = running(now, Shift);
    rollout.on_order(now, None);
    let step = rollout.next_step(now, &inputs()).expect("a step");
    assert_eq!((step.record.phase, step.reason), (RolledBack, RolloutReason::Withdrawn));
    assert!(rollout.on_record(now, step.record));
    assert_eq!(rollout.next_step(now, &inputs()), None);
    assert_eq!(rollout.gate(&version("v2")), VersionGate::Closed);
}

/// Guards against a later phase that is lost when the store comes back from an older copy.
#[test]
fn later_phase_is_written_again() {
    let now = Instant::now();
    let mut rollout = running(now, Shift);
    assert_eq!(rollout.next_step(now, &inputs()), None);
    assert!(!rollout.on_record(now, record("v2", 10, Trial)));
    let step = rollout.next_step(now, &inputs()).expect("a step");
    assert_eq!((step.record.phase, step.reason), (Shift, RolloutReason::NotStored));
    rollout.on_record(now, step.record);
    assert_eq!(rollout.next_step(now, &inputs()), None);
    rollout.on_record_missing();
    assert!(rollout.next_step(now, &inputs()).is_some());
}

/// Guards against a decision to roll back that waits for the store, or that is lost before the
/// store has it.
#[test]
fn rollback_holds_before_it_is_stored() {
    let now = Instant::now();
    let mut leader = running(now, Shift);
    let mut other = rollout_of("d1", 2);
    other.on_order(now, Some(order("v2", 10)));
    other.on_record(now, record("v2", 10, Shift));
    let decision = record("v2", 10, RolledBack);
    assert!(leader.on_decision(now, &decision));
    assert!(leader.is_urgent());
    assert!(other.on_statement(now, "d0".into(), leader.statement()));
    assert_eq!(other.gate(&version("v2")), VersionGate::Closed);
    let step = other.next_step(now, &inputs()).expect("written again by a new leader");
    assert_eq!(step.record.phase, RolledBack);
    assert!(!leader.on_decision(now, &record("v2", 10, Shift)), "only rollbacks hold at once");
}

/// Guards against old versions that open again, by an unwritten decision, after another leader has
/// written that the rollout is completed.
#[test]
fn rollback_of_a_drain_waits_for_the_store() {
    let now = Instant::now();
    let mut rollout = running(now, DrainOld);
    let decision = record("v2", 10, RolledBack);
    assert!(!rollout.on_decision(now, &decision));
    assert_eq!(rollout.gate(&version("v1")), VersionGate::Closed);
    assert!(rollout.on_record(now, decision));
    assert_eq!(rollout.gate(&version("v1")), VersionGate::Open);
}

/// Guards against daemons that go on sending to a bad version while no leader decides.
#[test]
fn bad_version_is_held_without_a_leader() {
    let now = Instant::now();
    for phase in [Trial, Shift] {
        let mut rollout = running(now, phase);
        answer(&mut rollout, now, "v1", 500, good(20));
        answer(&mut rollout, now, "v2", 10, BAD);
        assert_eq!(rollout.gate(&version("v2")), VersionGate::Closed);
        assert_eq!(rollout.gate(&version("v1")), VersionGate::Open);
        assert!(!rollout.may_expose(now, true));
        let mut other = running(now, phase);
        assert!(other.on_statement(now, "d1".into(), rollout.statement()));
        assert_eq!(other.gate(&version("v2")), VersionGate::Closed);
    }
}

/// Guards against answers that are counted twice or lost when statements are repeated, late or of
/// another boot.
#[test]
fn statements_are_merged_once() {
    let now = Instant::now();
    let mut other = running(now, Trial);
    answer(&mut other, now, "v1", 10, good(20));
    let first = other.statement();
    answer(&mut other, now, "v1", 5, good(20));
    let second = other.statement();
    let mut restarted = rollout_of("d0", 2);
    restarted.on_order(now, Some(order("v2", 10)));
    answer(&mut restarted, now, "v1", 3, good(20));
    let after_restart = restarted.statement();

    let mut rollout = rollout_of("d9", 3);
    rollout.on_order(now, Some(order("v2", 10)));
    let statements =
        [&first, &first, &second, &first, &second, &after_restart, &second, &after_restart];
    for statement in statements {
        rollout.on_statement(now, "d0".into(), statement.clone());
    }
    let evidence = rollout.evidence();
    assert_eq!(evidence.routes.len(), 1);
    assert_eq!(evidence.routes[0].old.answers, 18);
    assert_eq!(evidence.daemons, 2);
}

/// Guards against statements that grow with the number of routes or hosts.
#[test]
fn statements_are_bounded() {
    let now = Instant::now();
    let mut rollout = running(now, Shift);
    for index in 0..100 {
        let route: Arc<str> = format!("/r{index}").into();
        let host: HostId = format!("h{index}").into();
        let origin = AnswerOrigin { zone: None, host: Some(&host) };
        for name in ["v1", "v2"] {
            rollout.on_answer_from(now, &route, &version(name), origin, good(index));
        }
    }
    let statement = rollout.statement();
    assert_eq!(statement.routes.len(), 17);
    assert_eq!(statement.hosts.len(), 8);
    let answers = statement.routes.iter().map(|route| route.new.answers()).sum::<u64>();
    assert_eq!(answers, 100);
    let bytes = bincode::serialize(&statement).expect("bytes").len();
    println!("largest statement: {bytes} bytes");
    assert!(bytes <= 6_000, "{bytes} bytes");
}

/// Guards against cuts of a whole zone that are laid to the target.
#[test]
fn cuts_count_unless_the_zone_is_cut() {
    struct Case {
        name: &'static str,
        /// Whether this daemon saw an old endpoint, another service's or another daemon saw one cut.
        by_old: bool,
        by_other_service: bool,
        by_other_daemon: bool,
        counted: u64,
    }
    let cases = [
        Case {
            name: "only the target",
            by_old: false,
            by_other_service: false,
            by_other_daemon: false,
            counted: 1,
        },
        Case {
            name: "old endpoint too",
            by_old: true,
            by_other_service: false,
            by_other_daemon: false,
            counted: 0,
        },
        Case {
            name: "other service too",
            by_old: false,
            by_other_service: true,
            by_other_daemon: false,
            counted: 0,
        },
        Case {
            name: "seen by another daemon",
            by_old: false,
            by_other_service: false,
            by_other_daemon: true,
            counted: 0,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let route: Arc<str> = "/r".into();
        let zone: ZoneId = "z".into();
        let origin = AnswerOrigin { zone: Some(&zone), host: None };
        let mut rollout = running(start, Trial);
        let cut = AnswerOutcome::Cut;
        rollout.on_answer_from(start, &route, &version("v2"), origin, cut);
        let soon = start + Duration::from_millis(200);
        if case.by_old {
            rollout.on_answer_from(soon, &route, &version("v1"), origin, cut);
        }
        if case.by_other_service {
            rollout.on_zone_cut(soon, &zone);
        }
        if case.by_other_daemon {
            let mut other = running(start, Trial);
            other.on_answer_from(soon, &route, &version("v1"), origin, cut);
            rollout.on_statement(soon, "d1".into(), other.statement());
        }
        rollout.on_sent(start + Duration::from_secs(1), &version("v1"));
        let failed = rollout.evidence().routes.first().map_or(0, |route| route.new.failed);
        assert_eq!(failed, case.counted, "{}", case.name);
    }
}

/// Guards against requests in flight that are forgotten, or that a daemon that is gone keeps.
#[test]
fn in_flight_to_old_versions() {
    let now = Instant::now();
    let mut rollout = running(now, DrainOld);
    let mut other = running(now, DrainOld);
    for rollout in [&mut rollout, &mut other] {
        for name in ["v1", "v1", "v2"] {
            rollout.on_sent(now, &version(name));
        }
    }
    rollout.on_done(&version("v1"));
    assert_eq!(rollout.old_in_flight(), 1);
    rollout.on_statement(now, "d1".into(), other.statement());
    assert_eq!(rollout.old_in_flight(), 3);
    rollout.on_departure(&"d1".into());
    assert_eq!(rollout.old_in_flight(), 1);
}

/// Guards against a record in the store that other builds or an operator can't read.
#[test]
fn record_as_json() {
    let text = r#"{"order":"3.17","target":"v2","phase":"drain_old","fence":9}"#;
    let read = serde_json::from_str::<RolloutRecord>(text).expect("a record");
    let position = StorePosition::new(3, 17);
    assert_eq!(read, RolloutRecord::new(position, "v2".into(), DrainOld, 9));
    let written = serde_json::to_value(&read).expect("JSON");
    assert_eq!(written["order"], "3.17");
    assert_eq!(written["phase"], "drain_old");
    let states = [Trial, Shift, DrainOld, Completed, RolledBack].map(RolloutPhase::state);
    let names = states.map(|state| serde_json::to_value(state).expect("JSON"));
    assert_eq!(names, ["running", "running", "running", "completed", "rolled_back"]);
    assert_eq!(states[0], RolloutState::Running);
}

/// Guards against statements that the binary encoding between daemons can't carry.
#[test]
fn statement_in_binary() {
    let now = Instant::now();
    let mut rollout = running(now, Trial);
    answer(&mut rollout, now, "v1", 500, good(20));
    answer(&mut rollout, now, "v2", 40, good(20));
    let statement = rollout.statement();
    let bytes = bincode::serialize(&statement).expect("bytes");
    println!("usual statement: {} bytes", bytes.len());
    assert!(bytes.len() < 600, "{} bytes", bytes.len());
    assert_eq!(bincode::deserialize::<RolloutStatement>(&bytes).expect("read"), statement);
    assert_eq!(rollout.evidence().verdict, RolloutVerdict::Good);
}

/// Guards against a completion by a number of requests in flight that a daemon stated before it closed
/// the old versions.
#[test]
fn completion_waits_for_statements_after_the_record() {
    struct Case {
        name: &'static str,
        /// Phase that the other daemon knows when it states its requests, and their number.
        phase: RolloutPhase,
        in_flight: usize,
        is_gone: bool,
        completes: bool,
    }
    let cases = [
        Case { name: "before", phase: Shift, in_flight: 0, is_gone: false, completes: false },
        Case { name: "after", phase: DrainOld, in_flight: 0, is_gone: false, completes: true },
        Case { name: "busy", phase: DrainOld, in_flight: 1, is_gone: false, completes: false },
        Case { name: "gone", phase: Shift, in_flight: 1, is_gone: true, completes: true },
    ];
    for case in cases {
        let start = Instant::now();
        let mut rollout = running(start, DrainOld);
        let mut other = rollout_of("d1", 2);
        other.on_order(start, Some(order("v2", 10)));
        other.on_record(start, record("v2", 10, case.phase));
        (0..case.in_flight).for_each(|_| other.on_sent(start, &version("v1")));
        rollout.on_statement(start, "d1".into(), other.statement());
        if case.is_gone {
            rollout.on_departure(&"d1".into());
        }
        let step = rollout.next_step(start + Duration::from_secs(3), &inputs());
        assert_eq!(step.is_some(), case.completes, "{}", case.name);
    }
}

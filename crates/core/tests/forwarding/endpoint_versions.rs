//! What the phase of a rollout and the other gates permit an endpoint together.

use super::support::{entry, plain_request, plain_service};
use cassiagw_core::{
    forwarding::{
        EndpointEntry, EndpointPhase, EndpointTable, Fault, Pick, PickRequest, RolloutLimits,
        RolloutOrder, RolloutPhase, RolloutRecord, ServiceRollout, StorePosition, ZoneSilence,
    },
    ids::FastSet,
};
use std::time::{Duration, Instant};

const LIMITS: RolloutLimits =
    RolloutLimits { expose_share: 0.1, expose_slack: 50, rollback: Duration::from_secs(5) };
const ORDER: StorePosition = StorePosition { era: 1, revision: 7 };

struct Fixture {
    now: Instant,
    table: EndpointTable,
}

impl Fixture {
    /// One endpoint `old` of `v1` and one `new` of `v2`, which is to be rolled out.
    fn new(phase: Option<RolloutPhase>) -> Self {
        let now = Instant::now();
        let mut table = EndpointTable::new("z0".into());
        table.insert(now, versioned("old", "v1", 1));
        table.insert(now, versioned("new", "v2", 2));
        let mut rollout = ServiceRollout::new("desk".into(), "d".into(), 1, LIMITS);
        let order = RolloutOrder {
            target: "v2".into(),
            duration: Duration::from_secs(12),
            written_at: ORDER,
        };
        rollout.on_order(now, Some(order));
        if let Some(phase) = phase {
            let mut record = RolloutRecord::new(ORDER, "v2".into(), phase, 1);
            let is_completed = phase == RolloutPhase::Completed;
            record.old_started_by = is_completed.then_some(2);
            rollout.on_record(now, record);
        }
        table.rollouts.insert("desk".into(), rollout);
        Self { now, table }
    }

    /// Endpoints picked for any of some requests.
    fn picked(&self, may_expose: bool) -> Vec<String> {
        let service = plain_service();
        let requests = (0..40).map(|tie_breaker| PickRequest {
            may_expose,
            tie_breaker,
            ..plain_request(&service)
        });
        let picked = requests.filter_map(|req| match self.table.pick(self.now, &req) {
            Pick::Endpoint(picked) => Some(picked.entry.id.to_string()),
            _ => None,
        });
        let mut picked: Vec<String> = picked.collect();
        picked.sort();
        picked.dedup();
        picked
    }

    fn accepting(&self) -> Vec<String> {
        let entries = self.table.entries();
        let accepting = entries.filter(|entry| self.table.still_accepts(self.now, entry));
        let mut accepting: Vec<String> = accepting.map(|entry| entry.id.to_string()).collect();
        accepting.sort();
        accepting
    }
}

fn versioned(id: &str, version: &str, started_unix_ms: u64) -> EndpointEntry {
    let entry = entry(id, &plain_service(), "z0");
    EndpointEntry { version: version.into(), started_unix_ms: Some(started_unix_ms), ..entry }
}

/// Guards against requests to a version that its phase closes, also requests that were placed before,
/// and against a version on trial that gets a request beyond its share.
#[test]
fn the_phase_decides_which_versions_get_requests() {
    struct Case {
        phase: Option<RolloutPhase>,
        usual: &'static [&'static str],
        exposed: &'static [&'static str],
        accepting: &'static [&'static str],
    }
    use RolloutPhase::{Completed, DrainOld, RolledBack, Shift, Trial};
    let (old, new, both) = (&["old"][..], &["new"][..], &["new", "old"][..]);
    let cases = [
        Case { phase: None, usual: old, exposed: new, accepting: both },
        Case { phase: Some(Trial), usual: old, exposed: new, accepting: both },
        Case { phase: Some(Shift), usual: both, exposed: both, accepting: both },
        Case { phase: Some(DrainOld), usual: new, exposed: new, accepting: new },
        Case { phase: Some(Completed), usual: new, exposed: new, accepting: new },
        Case { phase: Some(RolledBack), usual: old, exposed: old, accepting: old },
    ];
    for Case { phase, usual, exposed, accepting } in cases {
        let fixture = Fixture::new(phase);
        assert_eq!(fixture.picked(false), usual, "{phase:?}");
        assert_eq!(fixture.picked(true), exposed, "{phase:?} within the share");
        assert_eq!(fixture.accepting(), accepting, "{phase:?} before the write");
    }
}

/// Guards against a version gate that overrules another gate: an endpoint must pass all of them.
#[test]
fn the_other_gates_hold_for_the_target_too() {
    struct Case {
        name: &'static str,
        change: fn(&mut Fixture),
    }
    let cases = [
        Case {
            name: "draining",
            change: |fixture| {
                let draining =
                    EndpointEntry { phase: EndpointPhase::Draining, ..versioned("new", "v2", 2) };
                fixture.table.insert(fixture.now, draining);
            },
        },
        Case {
            name: "in an evacuated zone",
            change: |fixture| {
                let moved = EndpointEntry { zone: "z9".into(), ..versioned("new", "v2", 2) };
                fixture.table.insert(fixture.now, moved);
                fixture.table.set_evacuated(FastSet::from_iter(["z9".into()]));
            },
        },
        Case { name: "removed", change: |fixture| fixture.table.remove(&"new".into()) },
    ];
    for Case { name, change } in cases {
        for phase in [RolloutPhase::Trial, RolloutPhase::Shift] {
            let mut fixture = Fixture::new(Some(phase));
            change(&mut fixture);
            assert_eq!(fixture.picked(true), ["old"], "{name} in {phase:?}");
        }
        let mut fixture = Fixture::new(Some(RolloutPhase::Completed));
        change(&mut fixture);
        assert!(fixture.picked(true).is_empty(), "{name}: old endpoints stay closed");
    }
}

/// Guards against a version on trial whose failing endpoints still get its share, instead of a
/// request that shows whether they serve again.
#[test]
fn a_failing_endpoint_on_trial_is_avoided_while_others_serve() {
    let mut fixture = Fixture::new(Some(RolloutPhase::Trial));
    fixture.table.insert(fixture.now, versioned("new-2", "v2", 2));
    for _ in 0..8 {
        fixture.table.on_fault(fixture.now, "new", Fault::Closed);
    }
    assert_eq!(fixture.picked(true), ["new-2"]);
}

/// Guards against endpoints that get nothing since they run a version without an order: a release
/// after the rollout replaces the endpoints of the target.
#[test]
fn endpoints_that_start_after_a_rollout_are_not_its_old_ones() {
    struct Case {
        name: &'static str,
        version: &'static str,
        started: u64,
        is_open: bool,
    }
    let cases = [
        Case { name: "an old endpoint", version: "v1", started: 1, is_open: false },
        Case { name: "another version", version: "v3", started: 3, is_open: true },
        Case { name: "the old version again", version: "v1", started: 3, is_open: true },
        Case { name: "the target", version: "v2", started: 3, is_open: true },
    ];
    for Case { name, version, started, is_open } in cases {
        let mut fixture = Fixture::new(Some(RolloutPhase::Completed));
        fixture.table.insert(fixture.now, versioned("later", version, started));
        let accepts = fixture.accepting().contains(&"later".to_owned());
        assert_eq!(accepts, is_open, "{name}");
    }
}

/// Guards against a zone that is cut off and makes the version look bad whose endpoints are there, and
/// against a version that does not answer and is excused by rare silence of the old one.
#[test]
fn a_zone_is_silent_while_most_old_answers_there_are_missing() {
    struct Case {
        answered: usize,
        missing: usize,
        age: Duration,
        is_silent: bool,
    }
    let second = Duration::from_secs(1);
    let cases = [
        Case { answered: 0, missing: 0, age: second, is_silent: false },
        Case { answered: 0, missing: 1, age: second, is_silent: true },
        Case { answered: 3, missing: 3, age: second, is_silent: true },
        Case { answered: 40, missing: 2, age: second, is_silent: false },
        Case { answered: 0, missing: 3, age: 6 * second, is_silent: false },
    ];
    for Case { answered, missing, age, is_silent } in cases {
        let now = Instant::now();
        let mut silence = ZoneSilence::default();
        (0..answered).for_each(|_| silence.on_answer(now, &"z0".into(), false));
        (0..missing).for_each(|_| silence.on_answer(now, &"z0".into(), true));
        let case = format!("{answered} answered, {missing} missing, {age:?} ago");
        assert_eq!(silence.is_silent(now + age, &"z0".into()), is_silent, "{case}");
        assert!(!silence.is_silent(now + age, &"z1".into()), "{case}: another zone");
    }
}

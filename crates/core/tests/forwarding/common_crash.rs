//! Verdicts on whole requests that were at several endpoints when all of them crashed at once.

use super::{crashing_request::ended, quarantine::crashed_run};
use cassiagw_core::forwarding::{
    CrashedRun, PartHash, PartQuarantine, QuarantinedPart, SuspectKind,
};
use std::time::{Duration, Instant};

const SUSPECT: PartHash = 1;
const OTHER_SUSPECT: PartHash = 2;
/// Time after a verdict by which a trial must be possible if it may be wrong.
const SOON: Duration = Duration::from_secs(8);
const SETTLED: Duration = Duration::from_millis(300);

/// A request that was at three endpoints when they crashed, which is all that is known of it.
fn after_crash_of_all(now: Instant) -> PartQuarantine {
    let mut quarantine = PartQuarantine::default();
    for (endpoint, id) in [("a", 1), ("b", 2), ("c", 3)] {
        quarantine.on_crash(now, ended(endpoint, id, SUSPECT), []);
    }
    quarantine.update(now + SETTLED);
    assert!(is_kept_away(&quarantine, now + SETTLED));
    quarantine
}

fn is_kept_away(quarantine: &PartQuarantine, at: Instant) -> bool {
    quarantine.find(at, "w", &[SUSPECT], |_| true).is_some()
}

/// Time until the first trial, in steps of a second; the quarantine's whole time if there is none.
fn first_trial(quarantine: &mut PartQuarantine, now: Instant) -> Duration {
    let seconds = (0..600).map(Duration::from_secs);
    let mut due = seconds.filter(|after| {
        quarantine.update(now + *after);
        !is_kept_away(quarantine, now + *after)
    });
    due.next().unwrap_or(Duration::from_secs(600))
}

/// Guards against a frequent request being refused for 30 s after all replicas of its service
/// crashed together.
#[test]
fn a_verdict_from_one_moment_is_tried_soon_and_withdrawn() {
    let now = Instant::now();
    let mut quarantine = after_crash_of_all(now);
    let trial = first_trial(&mut quarantine, now + SETTLED);
    assert!(trial <= SOON, "the first trial comes after {trial:?}");
    let at = now + SETTLED + trial;
    quarantine.on_sent(at, &[SUSPECT]);
    assert!(is_kept_away(&quarantine, at), "one request is a trial");
    quarantine.on_survived(at + SETTLED, &[SUSPECT]);
    assert_eq!(quarantine.update(at + SETTLED).ended.len(), 1);
}

/// Guards against a trial that is lost while no endpoint is back yet.
#[test]
fn a_soon_trial_stays_due_until_a_request_is_sent() {
    let now = Instant::now();
    let mut quarantine = after_crash_of_all(now);
    let mut longest = Duration::ZERO;
    let mut kept_since = now;
    for second in 0..60 {
        let at = now + SETTLED + Duration::from_secs(second);
        quarantine.update(at);
        match is_kept_away(&quarantine, at) {
            true => longest = longest.max(at - kept_since),
            false => kept_since = at,
        }
    }
    assert!(longest <= SOON, "no trial was possible for {longest:?}");
}

/// Guards against more arrivals at endpoints than the promise allows.
#[test]
fn a_request_that_does_crash_endpoints_gets_two_trials_also_if_they_come_soon() {
    let now = Instant::now();
    let mut quarantine = after_crash_of_all(now);
    let mut trials = 0;
    for second in 0..599 {
        let at = now + SETTLED + Duration::from_secs(second);
        quarantine.update(at);
        if !is_kept_away(&quarantine, at) {
            trials += 1;
            quarantine.on_sent(at, &[SUSPECT]);
            quarantine.on_crash(at, ended("x", 100 + second, SUSPECT), []);
        }
    }
    assert_eq!(trials, 2);
}

/// Guards against a trial of a request that three crashes at different times speak against.
#[test]
fn a_verdict_from_crashes_at_different_times_is_tried_after_30_s() {
    let mut now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for (endpoint, id) in [("a", 1), ("b", 2), ("c", 3)] {
        quarantine.on_crash(now, ended(endpoint, id, SUSPECT), []);
        now += SETTLED;
    }
    quarantine.update(now);
    assert_eq!(first_trial(&mut quarantine, now), Duration::from_secs(30));
}

/// Guards against a wrong quarantine of the store that keeps requests away for long after all
/// daemons were killed.
#[test]
fn a_quarantine_of_the_store_is_tried_soon_after_the_start() {
    let now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    quarantine.on_stored(now, stored());
    assert!(is_kept_away(&quarantine, now));
    let trial = first_trial(&mut quarantine, now);
    assert!(trial <= SOON, "the first trial comes after {trial:?}");
}

fn stored() -> QuarantinedPart {
    let now = Instant::now();
    let quarantine = after_crash_of_all(now);
    let timed = quarantine.quarantined(now + SETTLED).next();
    timed.expect("the request is in quarantine").quarantined
}

/// Guards against a verdict that stands though the report that clears its crashes came late.
#[test]
fn a_verdict_is_withdrawn_when_late_reports_clear_its_crashes() {
    let now = Instant::now();
    let mut quarantine = after_crash_of_all(now);
    let mut other = PartQuarantine::default();
    other.on_crash(now, ended("a", 1, SUSPECT), []);
    other.on_survived(now, &[SUSPECT]);
    let late = now + 2 * SETTLED;
    quarantine.on_report(late, Duration::ZERO, other.report(late));
    assert_eq!(quarantine.update(late).ended.len(), 1);
    assert!(!is_kept_away(&quarantine, late));
}

/// Guards against two crashing requests that hide each other: the endpoints that one ends are no
/// sign that those that the other ends at the same moment have a cause in common.
#[test]
fn crashes_of_a_quarantined_request_are_no_common_cause() {
    let mut now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for (endpoint, id) in [("a", 1), ("b", 2), ("c", 3)] {
        quarantine.on_crash(now, ended(endpoint, id, OTHER_SUSPECT), []);
        now += SETTLED;
        quarantine.update(now);
    }
    quarantine.on_crash(now, ended("d", 4, OTHER_SUSPECT), []);
    for (endpoint, id) in [("e", 5), ("f", 6), ("g", 7)] {
        quarantine.on_crash(now, ended(endpoint, id, SUSPECT), []);
    }
    now += SETTLED;
    quarantine.update(now);
    assert!(is_kept_away(&quarantine, now));
}

/// Guards against parts being convicted by endpoints that crash together, however many there are.
#[test]
fn parts_are_not_convicted_by_one_moment() {
    let now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for (number, endpoint) in ["a", "b", "c", "d", "e", "f"].into_iter().enumerate() {
        let run = crashed_run(endpoint, number as u64, "w", &[SUSPECT]);
        quarantine.on_crash(now, CrashedRun { boot: 1, ..run }, []);
    }
    quarantine.update(now + SETTLED);
    let kinds = quarantine.quarantined(now + SETTLED).map(|timed| timed.quarantined.kind);
    assert!(!kinds.collect::<Vec<_>>().contains(&SuspectKind::Part));
}

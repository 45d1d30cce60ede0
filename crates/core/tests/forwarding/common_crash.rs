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

/// A run of the request `whole` whose prompt has a part in common with others.
fn with_part(endpoint: &str, id: u64, whole: PartHash) -> CrashedRun {
    CrashedRun { whole, ..crashed_run(endpoint, id, "w", &[50, PART]) }
}

const PART: PartHash = 51;

fn quarantined(quarantine: &PartQuarantine, at: Instant) -> Vec<(PartHash, SuspectKind)> {
    let all = quarantine.quarantined(at).map(|timed| timed.quarantined);
    let mut all: Vec<_> = all.map(|of| (of.part, of.kind)).collect();
    all.sort_unstable_by_key(|(part, _)| *part);
    all
}

/// Guards against a crashing part that hides behind one quarantined request after the other: each took
/// three endpoints of its own.
#[test]
fn a_part_of_several_crashing_requests_is_found_after_the_first_one() {
    let mut now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for (endpoint, id) in [("a", 1), ("b", 2), ("c", 3), ("d", 4)] {
        quarantine.on_crash(now, with_part(endpoint, id, SUSPECT), []);
        now += SETTLED;
        quarantine.update(now);
    }
    let only_request = [(SUSPECT, SuspectKind::Request)];
    assert_eq!(quarantined(&quarantine, now), only_request, "its parts may be harmless");
    quarantine.on_survived(now, &[50]);
    quarantine.on_crash(now, with_part("e", 5, OTHER_SUSPECT), []);
    quarantine.update(now);
    let with_part = [(SUSPECT, SuspectKind::Request), (PART, SuspectKind::Part)];
    assert_eq!(quarantined(&quarantine, now), with_part);
}

/// Guards against daemons that are restarted one after the other and forget all crashes, so that a
/// crashing part begins anew.
#[test]
fn a_daemon_that_starts_learns_of_earlier_crashes() {
    let mut now = Instant::now();
    let mut old = PartQuarantine::default();
    for (endpoint, id) in [("a", 1), ("b", 2)] {
        old.on_crash(now, with_part(endpoint, id, 100 + id), []);
        now += SETTLED;
        old.on_survived(now, &[50]);
    }
    now += Duration::from_secs(10);
    let mut new = PartQuarantine::default();
    new.on_report(now, Duration::ZERO, old.report(now));
    assert!(!new.is_suspect(PART), "it is told once only");
    old.on_new_daemon(now);
    new.on_report(now, Duration::ZERO, old.report(now));
    assert!(new.is_suspect(PART));
    // It passes on what it was told, too.
    let mut newest = PartQuarantine::default();
    new.on_new_daemon(now);
    newest.on_report(now, Duration::ZERO, new.report(now));
    newest.on_crash(now, with_part("c", 3, 103), []);
    newest.update(now);
    assert_eq!(quarantined(&newest, now), [(PART, SuspectKind::Part)], "the other part survived");
    let later = now + Duration::from_secs(3);
    assert!(old.report(later).runs.is_empty(), "it is not repeated for ever");
}

/// Guards against a caller whose second crashing request ends as many endpoints as its first.
#[test]
fn a_second_request_of_a_workspace_needs_fewer_crashes() {
    struct Case {
        name: &'static str,
        workspace: &'static str,
        /// Time between the two crashes, in milliseconds.
        gap_ms: u64,
        is_quarantined: bool,
    }
    let cases = [
        Case { name: "two crashes", workspace: "w", gap_ms: 300, is_quarantined: true },
        Case { name: "of one moment", workspace: "w", gap_ms: 10, is_quarantined: false },
        Case { name: "of another workspace", workspace: "v", gap_ms: 300, is_quarantined: false },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut quarantine = PartQuarantine::default();
        for (endpoint, id) in [("a", 1), ("b", 2), ("c", 3)] {
            quarantine.on_crash(now, ended(endpoint, id, OTHER_SUSPECT), []);
            now += SETTLED;
            quarantine.update(now);
        }
        for (endpoint, id) in [("d", 4), ("e", 5)] {
            let workspace = case.workspace.into();
            let run = CrashedRun { workspace, ..ended(endpoint, id, SUSPECT) };
            quarantine.on_crash(now, run, []);
            now += Duration::from_millis(case.gap_ms);
        }
        now += SETTLED;
        quarantine.update(now);
        let is_quarantined = quarantine.find(now, case.workspace, &[SUSPECT], |_| false).is_some();
        assert_eq!(is_quarantined, case.is_quarantined, "{}", case.name);
    }
}

/// Guards against a request that frequent callers send being hidden in memory by requests that come
/// once, and against memory that grows with them.
#[test]
fn answered_requests_are_remembered_for_a_moment() {
    struct Case {
        name: &'static str,
        /// Time from the last answer to the crash, in milliseconds.
        before_ms: u64,
        /// Other requests that were answered meanwhile.
        others: u64,
        is_quarantined: bool,
    }
    let cases = [
        Case { name: "just before", before_ms: 5, others: 0, is_quarantined: false },
        Case { name: "with others", before_ms: 1_900, others: 4_000, is_quarantined: false },
        Case { name: "too long before", before_ms: 2_100, others: 0, is_quarantined: true },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut quarantine = PartQuarantine::default();
        let mut told = quarantine.on_answered(now, SUSPECT);
        for number in 0..case.others {
            told |= quarantine.on_answered(now, 1_000 + number);
        }
        assert!(!told, "{}: nothing to tell before a crash", case.name);
        assert!(quarantine.is_idle(), "{}", case.name);
        now += Duration::from_millis(case.before_ms);
        for (endpoint, id) in [("a", 1), ("b", 2), ("c", 3)] {
            quarantine.on_crash(now, ended(endpoint, id, SUSPECT), []);
        }
        let tells = quarantine.report(now).survivals.len();
        assert_eq!(tells == 1, !case.is_quarantined, "{}: told to others", case.name);
        quarantine.update(now + SETTLED);
        assert_eq!(is_kept_away(&quarantine, now + SETTLED), case.is_quarantined, "{}", case.name);
    }
}

/// Guards against trials that begin anew with each daemon that starts.
#[test]
fn trials_are_counted_by_the_store() {
    let now = Instant::now();
    let mut quarantine = after_crash_of_all(now);
    let at = now + SETTLED;
    quarantine.on_stored(at, stored());
    assert!(quarantine.due_writes(at, |_| 0).is_empty(), "the store has it");
    let trial = at + first_trial(&mut quarantine, at);
    quarantine.on_sent(trial, &[SUSPECT]);
    let written = quarantine.due_writes(trial, |_| 0).remove(0).quarantined;
    assert_eq!(written.trials, 1);
    let mut started = PartQuarantine::default();
    started.on_stored(trial, written.clone());
    assert_eq!(first_trial(&mut started, trial), Duration::from_secs(30));
    started.on_sent(trial + Duration::from_secs(30), &[SUSPECT]);
    let after_second = first_trial(&mut started, trial + Duration::from_secs(40));
    assert_eq!(after_second, Duration::from_secs(560), "none until its end");
    let mut older = stored();
    older.trials = 0;
    quarantine.on_stored(trial, older);
    assert_eq!(quarantine.due_writes(trial, |_| 0).len(), 1, "an older state is written again");
}

/// Guards against a second trial by a daemon that was told of the first one.
#[test]
fn a_trial_of_one_daemon_counts_for_the_others() {
    let now = Instant::now();
    let mut first = after_crash_of_all(now);
    let mut second = after_crash_of_all(now);
    let due = now + SETTLED + first_trial(&mut first, now + SETTLED);
    assert_eq!(second.trial_due_for(due + SETTLED, SUSPECT), Some(SETTLED));
    assert_eq!(first.on_sent(due, &[SUSPECT, PART]), Some(SUSPECT));
    assert_eq!(first.on_sent(due, &[SUSPECT]), None, "one request is a trial");
    second.on_report(due, Duration::ZERO, first.report(due));
    for quarantine in [&first, &second] {
        assert_eq!(quarantine.trial_due_for(due + SETTLED, SUSPECT), None);
        assert!(is_kept_away(quarantine, due + SETTLED));
    }
}

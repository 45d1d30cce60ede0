//! What a daemon that was asked to stop still takes.

use cassiagw_core::forwarding::DrainSchedule;
use std::time::{Duration, Instant};

struct Case {
    grace_ms: u64,
    comes_after_ms: u64,
    target_latency_ms: u64,
    is_taken: bool,
}

#[test]
fn requests_are_taken_if_their_answers_come_in_time() {
    let cases = [
        Case { grace_ms: 8_000, comes_after_ms: 0, target_latency_ms: 1_000, is_taken: true },
        Case { grace_ms: 8_000, comes_after_ms: 6_500, target_latency_ms: 1_000, is_taken: true },
        Case { grace_ms: 8_000, comes_after_ms: 6_501, target_latency_ms: 1_000, is_taken: false },
        Case { grace_ms: 8_000, comes_after_ms: 7_400, target_latency_ms: 100, is_taken: true },
        Case { grace_ms: 8_000, comes_after_ms: 0, target_latency_ms: 60_000, is_taken: false },
        Case { grace_ms: 100, comes_after_ms: 0, target_latency_ms: 1, is_taken: false },
    ];
    let stopped_at = Instant::now();
    let ms = Duration::from_millis;
    for Case { grace_ms, comes_after_ms, target_latency_ms, is_taken } in cases {
        let schedule = DrainSchedule::new(stopped_at, ms(grace_ms));
        let takes = schedule.takes(stopped_at + ms(comes_after_ms), ms(target_latency_ms));
        assert_eq!(takes, is_taken, "{grace_ms} {comes_after_ms} {target_latency_ms}");
        let process_ends = schedule.end_at(schedule.answer_by());
        assert!(schedule.answer_by() < process_ends, "{grace_ms}");
    }
}

/// Guards against a process that was not scheduled when its answers were due and ends without them.
#[test]
fn the_process_ends_before_the_grace_and_after_its_answers() {
    struct EndCase {
        grace_ms: u64,
        noticed_after_ms: u64,
        ends_after_ms: u64,
    }
    let cases = [
        EndCase { grace_ms: 8_000, noticed_after_ms: 7_500, ends_after_ms: 7_700 },
        EndCase { grace_ms: 8_000, noticed_after_ms: 7_600, ends_after_ms: 7_700 },
        EndCase { grace_ms: 8_000, noticed_after_ms: 7_690, ends_after_ms: 7_740 },
        EndCase { grace_ms: 8_000, noticed_after_ms: 8_200, ends_after_ms: 8_250 },
        EndCase { grace_ms: 100, noticed_after_ms: 2_400, ends_after_ms: 2_450 },
    ];
    let stopped_at = Instant::now();
    let ms = Duration::from_millis;
    for EndCase { grace_ms, noticed_after_ms, ends_after_ms } in cases {
        let schedule = DrainSchedule::new(stopped_at, ms(grace_ms));
        let end = schedule.end_at(stopped_at + ms(noticed_after_ms));
        assert_eq!(end, stopped_at + ms(ends_after_ms), "{grace_ms} {noticed_after_ms}");
    }
}

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
        let process_ends = stopped_at + DrainSchedule::process_time(ms(grace_ms));
        assert!(schedule.answer_by() <= process_ends, "{grace_ms}");
    }
}

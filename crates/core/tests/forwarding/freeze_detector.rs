use cassiagw_core::forwarding::FreezeDetector;
use std::time::{Duration, Instant};

#[test]
fn a_freeze_is_reported_once() {
    struct Case {
        monotonic_ms: u64,
        boot_ms: u64,
        was_frozen: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { monotonic_ms: 100, boot_ms: 100, was_frozen: false },
        Case { monotonic_ms: 9_000, boot_ms: 9_001, was_frozen: false },
        Case { monotonic_ms: 100, boot_ms: 250, was_frozen: false },
        Case { monotonic_ms: 100, boot_ms: 3_100, was_frozen: true },
        Case { monotonic_ms: 0, boot_ms: 0, was_frozen: false },
    ];
    let (mut at, mut boot) = (Instant::now(), Duration::from_secs(50));
    let mut detector = FreezeDetector::new(at, boot);
    for case in cases {
        at += Duration::from_millis(case.monotonic_ms);
        boot += Duration::from_millis(case.boot_ms);
        assert_eq!(detector.was_frozen(at, boot), case.was_frozen, "{} ms", case.boot_ms);
    }
}

use cassiagw_core::forwarding::FreezeWatch;
use std::time::{Duration, Instant};

#[test]
fn a_freeze_is_noticed_once() {
    struct Case {
        steady_ms: u64,
        boot_ms: u64,
        was_frozen: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { steady_ms: 100, boot_ms: 100, was_frozen: false },
        Case { steady_ms: 9_000, boot_ms: 9_001, was_frozen: false },
        Case { steady_ms: 100, boot_ms: 250, was_frozen: false },
        Case { steady_ms: 100, boot_ms: 3_100, was_frozen: true },
        Case { steady_ms: 0, boot_ms: 0, was_frozen: false },
    ];
    let (mut at, mut boot) = (Instant::now(), Duration::from_secs(50));
    let mut watch = FreezeWatch::new(at, boot);
    for case in cases {
        at += Duration::from_millis(case.steady_ms);
        boot += Duration::from_millis(case.boot_ms);
        assert_eq!(watch.was_frozen(at, boot), case.was_frozen, "{} ms", case.boot_ms);
    }
}

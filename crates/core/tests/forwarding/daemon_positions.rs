//! What the other daemons are known to have read of the store.

use cassiagw_core::{
    forwarding::{DaemonPositions, StorePosition},
    ids::DaemonId,
};
use std::time::{Duration, Instant};

/// What is heard of a daemon.
#[derive(Clone, Copy, Debug)]
enum Heard {
    /// A report of this revision, made at this time in milliseconds.
    Report { daemon: &'static str, at_ms: u64, revision: u64 },
    /// A call to it failed.
    Unreachable(&'static str),
}

/// Guards against freeing parts that a restarted daemon, which does not know so, may fetch.
#[test]
fn what_a_former_process_knew_does_not_count_for_the_next_one() {
    use Heard::{Report, Unreachable};
    struct Case {
        name: &'static str,
        heard: &'static [Heard],
        have_reached: bool,
    }
    const A: Heard = Report { daemon: "a", at_ms: 0, revision: 7 };
    const B: Heard = Report { daemon: "b", at_ms: 0, revision: 7 };
    #[rustfmt::skip]
    let cases = [
        Case { name: "nothing is known", heard: &[], have_reached: false },
        Case { name: "both know", heard: &[A, B], have_reached: true },
        Case { name: "one of them did not report", heard: &[A], have_reached: false },
        Case { name: "one is behind", heard: &[A, Report { daemon: "b", at_ms: 0, revision: 6 }], have_reached: false },
        Case { name: "one has ended", heard: &[A, B, Unreachable("b")], have_reached: false },
        Case { name: "it has started again, behind", heard: &[A, B, Unreachable("b"), Report { daemon: "b", at_ms: 500, revision: 0 }], have_reached: false },
        Case { name: "it has started again, and caught up", heard: &[A, B, Unreachable("b"), Report { daemon: "b", at_ms: 500, revision: 8 }], have_reached: true },
        Case { name: "its new process reports before a call to the former one fails", heard: &[A, B, Report { daemon: "b", at_ms: 500, revision: 0 }, Unreachable("b")], have_reached: false },
        Case { name: "a report of the former process comes late", heard: &[A, Report { daemon: "b", at_ms: 500, revision: 0 }, B], have_reached: false },
    ];
    let start = Instant::now();
    for Case { name, heard, have_reached } in cases {
        let mut positions = DaemonPositions::default();
        for heard in heard {
            match *heard {
                Report { daemon, at_ms, revision } => positions.on_report(
                    start + Duration::from_millis(at_ms),
                    daemon.into(),
                    StorePosition::new(0, revision),
                ),
                Unreachable(daemon) => positions.forget(&daemon.into()),
            }
        }
        let daemons: [DaemonId; 2] = ["a".into(), "b".into()];
        assert_eq!(
            positions.have_reached(StorePosition::new(0, 7), &daemons),
            have_reached,
            "{name}"
        );
    }
}

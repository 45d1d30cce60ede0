//! Entries of endpoints that vanish while the store comes and goes.

use cassiagw_core::forwarding::EntryLapses;
use proptest::prelude::*;
use std::time::{Duration, Instant};

/// Time for which an endpoint that left still serves, as the operators set it.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after the return of the store by which living endpoints are registered again, as the
/// operators state it.
const BACK_WITHIN: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Answer,
    Failure,
    /// A call fails after a silence of this many milliseconds.
    Timeout(u64),
    Freeze,
    /// The store comes back from a copy.
    Restored,
    /// Time passes, in milliseconds.
    Pause(u64),
}

use Step::{Answer, Failure, Freeze, Pause, Restored, Timeout};

/// How long an endpoint whose entry vanishes is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    /// Not at all.
    No,
    /// Until living endpoints have registered again after the return of the store, which is now.
    FromNow,
    /// Until that time after the return, which was this many milliseconds ago, and not for as long
    /// as an endpoint that left still serves.
    FromReturn(u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    held: Held,
}

const CASES: [Case; 18] = [
    Case { name: "the store was never reached", steps: &[], held: Held::FromNow },
    Case {
        name: "a new process reaches the store at once",
        steps: &[Pause(29), Answer, Pause(500)],
        held: Held::No,
    },
    Case {
        name: "a new process starts in an outage",
        steps: &[Failure, Pause(3_000), Answer, Pause(500)],
        held: Held::FromReturn(500),
    },
    Case {
        name: "the first answer after an outage",
        steps: &[Answer, Failure, Pause(4_000)],
        held: Held::FromNow,
    },
    Case {
        name: "just after an outage",
        steps: &[Answer, Failure, Pause(4_000), Answer],
        held: Held::FromReturn(0),
    },
    Case {
        name: "at the end of the grace after an outage",
        steps: &[Answer, Failure, Pause(4_000), Answer, Pause(2_000)],
        held: Held::FromReturn(2_000),
    },
    Case {
        name: "some time after an outage",
        steps: &[Answer, Failure, Pause(4_000), Answer, Pause(2_100)],
        held: Held::No,
    },
    Case {
        name: "many calls failed in the outage",
        steps: &[Answer, Failure, Pause(700), Failure, Pause(700), Failure, Answer, Pause(100)],
        held: Held::FromReturn(100),
    },
    Case {
        name: "one call failed",
        steps: &[Answer, Pause(400), Failure, Pause(300), Answer],
        held: Held::No,
    },
    Case {
        name: "a waiting watch was cut and the next call is answered",
        steps: &[Answer, Pause(1_900), Failure, Pause(120)],
        held: Held::No,
    },
    Case {
        name: "a waiting watch was cut a moment ago",
        steps: &[Answer, Pause(1_900), Failure, Pause(120), Answer, Pause(10)],
        held: Held::No,
    },
    Case {
        name: "a watch was not answered in time",
        steps: &[Answer, Pause(2_800), Timeout(2_800), Pause(100)],
        held: Held::FromNow,
    },
    Case {
        name: "one call was slow to fail",
        steps: &[Answer, Pause(800), Timeout(800), Pause(100), Answer, Pause(10)],
        held: Held::No,
    },
    Case {
        name: "a call fails in the grace after an outage",
        steps: &[Answer, Failure, Pause(4_000), Answer, Pause(1_000), Failure, Pause(100), Answer],
        held: Held::FromReturn(1_100),
    },
    Case {
        name: "a call failed after the grace of an outage",
        steps: &[Answer, Failure, Pause(4_000), Answer, Pause(3_000), Failure, Pause(100), Answer],
        held: Held::No,
    },
    Case {
        name: "a copy was read a moment ago",
        steps: &[Answer, Restored, Pause(300)],
        held: Held::FromReturn(300),
    },
    Case {
        name: "the host was frozen for a time that is not known",
        steps: &[Pause(5_000), Answer, Freeze, Failure, Pause(100), Answer],
        held: Held::FromReturn(0),
    },
    Case {
        name: "the host was frozen and the store answers",
        steps: &[Pause(5_000), Answer, Freeze, Answer],
        held: Held::No,
    },
];

fn take(lapses: &mut EntryLapses, now: &mut Instant, step: Step) {
    match step {
        Answer => lapses.on_answer(*now),
        Failure => lapses.on_failure(*now),
        Timeout(ms) => lapses.on_failure(*now - Duration::from_millis(ms)),
        Freeze => lapses.on_freeze(),
        Restored => lapses.on_restored(*now),
        Pause(ms) => *now += Duration::from_millis(ms),
    }
}

/// Guards against an endpoint that left being used for longer than it serves after a short failure
/// or a while after an outage, and against dropping one whose lease ran out in an outage before it
/// can have registered again.
#[test]
fn an_endpoint_is_held_only_until_it_can_have_registered_again() {
    for Case { name, steps, held } in CASES {
        let mut now = Instant::now();
        let mut lapses = EntryLapses::new(now);
        steps.iter().for_each(|step| take(&mut lapses, &mut now, *step));
        let until = lapses.hold_until(now, DRAIN);
        let time = until.map(|until| until.saturating_duration_since(now));
        if steps.contains(&Answer) {
            // Another daemon hears it from the store, so the endpoint may have left just now.
            let relayed = lapses.hold_relayed_until(now, DRAIN);
            assert!(relayed <= until && relayed < Some(now + DRAIN), "{name}: relayed");
            assert_eq!(relayed.is_some(), until.is_some(), "{name}: relayed");
        }
        match held {
            Held::No => assert_eq!(time, None, "{name}"),
            Held::FromNow => {
                assert!(time.is_some_and(|time| time >= BACK_WITHIN), "{name}: {time:?}")
            }
            Held::FromReturn(ago) => {
                let time = time.unwrap_or_else(|| panic!("{name}: not held"));
                let left = BACK_WITHIN.saturating_sub(Duration::from_millis(ago));
                assert!(time < DRAIN, "{name}: {time:?}");
                assert!(time >= left.min(DRAIN * 3 / 4), "{name}: {time:?}");
                assert!(time < left + Duration::from_millis(200), "{name}: {time:?}");
            }
        }
    }
}

proptest! {
    /// Guards against failures of single calls giving entries that vanish more time.
    #[test]
    fn short_failures_never_extend_a_hold(
        outage_ms in 1_000u64..6_000,
        gaps in prop::collection::vec((1u64..900, 1u64..900), 0..8),
    ) {
        let mut now = Instant::now();
        let mut calm = EntryLapses::new(now);
        let outage = [Answer, Failure, Pause(outage_ms), Answer];
        outage.iter().for_each(|step| take(&mut calm, &mut now, *step));
        let mut failing = calm.clone();
        for (gap_ms, failure_ms) in gaps {
            now += Duration::from_millis(gap_ms);
            failing.on_failure(now);
            now += Duration::from_millis(failure_ms);
            prop_assert!(failing.hold_until(now, DRAIN) <= calm.hold_until(now, DRAIN));
            failing.on_answer(now);
            prop_assert!(failing.hold_until(now, DRAIN) <= calm.hold_until(now, DRAIN));
        }
    }
}

//! Daemons that start, are paused or are cut off, and take their views for current or not.

use cassiagw_core::forwarding::{BootTime, StorePosition, ViewFreshness, Witness};
use proptest::prelude::*;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;
const START: BootTime = Duration::from_secs(1_000);

fn at(revision: u64) -> StorePosition {
    StorePosition::new(0, revision)
}

fn daemon(name: &str) -> Witness {
    Witness::Daemon(name.into())
}

/// What a daemon hears.
#[derive(Clone, Copy, Debug)]
enum Heard {
    /// The store answered a call that began at this time, in milliseconds.
    Store { called_ms: u64 },
    /// Another daemon answered such a call, at this revision.
    Answer { from: &'static str, called_ms: u64, revision: u64 },
    /// A report of another daemon at this revision arrived, whenever it was sent.
    Report { revision: u64 },
}

fn play(heard: &[Heard]) -> ViewFreshness {
    let mut freshness = ViewFreshness::default();
    for heard in heard {
        match *heard {
            Heard::Store { called_ms } => freshness.on_store_answer(START + MS(called_ms)),
            Heard::Answer { from, called_ms, revision } => {
                freshness.on_witness(START + MS(called_ms), daemon(from), at(revision));
            }
            Heard::Report { revision } => freshness.on_position(at(revision)),
        }
    }
    freshness
}

/// Guards against a daemon taking its view for current by what others said without looking at how far
/// they are, or by answers that were made long before they arrived.
#[test]
fn a_view_is_current_only_by_proofs_of_its_own_calls() {
    struct Case {
        name: &'static str,
        heard: &'static [Heard],
        members: &'static [&'static str],
        is_current: bool,
    }
    const A: Heard = Heard::Answer { from: "a", called_ms: 9_000, revision: 7 };
    const B: Heard = Heard::Answer { from: "b", called_ms: 9_000, revision: 7 };
    #[rustfmt::skip]
    let cases = [
        Case { name: "nothing is known", heard: &[], members: &[], is_current: false },
        Case { name: "the store answered", heard: &[Heard::Store { called_ms: 8_000 }], members: &["a"], is_current: true },
        Case { name: "the store's answer was held up", heard: &[Heard::Store { called_ms: 6_000 }], members: &[], is_current: false },
        Case { name: "a late answer does not undo a newer one", heard: &[Heard::Store { called_ms: 8_000 }, Heard::Store { called_ms: 1_000 }], members: &[], is_current: true },
        Case { name: "all others answered", heard: &[A, B], members: &["a", "b"], is_current: true },
        Case { name: "one of them did not", heard: &[A], members: &["a", "b"], is_current: false },
        Case { name: "an answer was held up", heard: &[A, Heard::Answer { from: "b", called_ms: 8_000, revision: 7 }], members: &["a", "b"], is_current: false },
        Case { name: "one of them is ahead", heard: &[A, Heard::Answer { from: "b", called_ms: 9_000, revision: 8 }], members: &["a", "b"], is_current: false },
        Case { name: "one of them is behind", heard: &[A, Heard::Answer { from: "b", called_ms: 9_000, revision: 6 }], members: &["a", "b"], is_current: true },
        Case { name: "reports alone", heard: &[Heard::Report { revision: 7 }, Heard::Report { revision: 7 }], members: &["a", "b"], is_current: false },
        Case { name: "a report of one that is no member yet is ahead", heard: &[A, B, Heard::Report { revision: 9 }], members: &["a", "b"], is_current: false },
        Case { name: "the store answered, another daemon is a little ahead", heard: &[Heard::Store { called_ms: 8_000 }, Heard::Report { revision: 9 }], members: &["a"], is_current: true },
        Case { name: "no other daemon is known", heard: &[A], members: &[], is_current: false },
    ];
    let now = START + MS(10_000);
    for Case { name, heard, members, is_current } in cases {
        let witnesses = members.iter().map(|name| daemon(name));
        assert_eq!(play(heard).is_current(now, at(7), witnesses), is_current, "{name}");
    }
}

/// Guards against a stream being resumed on the word of a time before its caller came.
#[test]
fn what_was_proved_before_a_moment_says_nothing_of_it() {
    struct Case {
        name: &'static str,
        heard: Heard,
        is_complete: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "the store, before", heard: Heard::Store { called_ms: 9_999 }, is_complete: false },
        Case { name: "the store, at that moment", heard: Heard::Store { called_ms: 10_000 }, is_complete: true },
        Case { name: "the store, after", heard: Heard::Store { called_ms: 10_001 }, is_complete: true },
        Case { name: "the others, before", heard: Heard::Answer { from: "a", called_ms: 9_999, revision: 7 }, is_complete: false },
        Case { name: "the others, after", heard: Heard::Answer { from: "a", called_ms: 10_001, revision: 7 }, is_complete: true },
        Case { name: "the others are ahead", heard: Heard::Answer { from: "a", called_ms: 10_001, revision: 8 }, is_complete: false },
    ];
    let (now, since) = (START + MS(10_200), START + MS(10_000));
    for Case { name, heard, is_complete } in cases {
        let is_proved = play(&[heard]).is_complete_since(now, since, at(7), [daemon("a")]);
        assert_eq!(is_proved, is_complete, "{name}");
    }
}

/// A call of the play below: who is asked, when it begins and how long its answer is held up.
#[derive(Clone, Copy, Debug)]
struct Call {
    other: usize,
    called_ms: u64,
    held_ms: u64,
}

fn call() -> impl Strategy<Value = Call> {
    (0..4_usize, 0..8_000_u64, prop_oneof![0..20_u64, 0..5_000_u64])
        .prop_map(|(other, called_ms, held_ms)| Call { other, called_ms, held_ms })
}

proptest! {
    /// Guards against any order of late and held-up answers making a view count as current that lacks
    /// what another daemon knew for longer than the longest age of a proof.
    #[test]
    fn a_current_view_lacks_nothing_that_another_daemon_has_long_known(
        mut calls in prop::collection::vec(call(), 1..60),
        // When the store and the three others learn of the only write.
        known_ms in prop::array::uniform4(0..6_000_u64),
        asked_ms in 0..14_000_u64,
    ) {
        const LONGEST_MS: u64 = 3_500;
        let names = ["a", "b", "c"];
        calls.sort_by_key(|call| call.called_ms + call.held_ms);
        let mut freshness = ViewFreshness::default();
        let mut view = at(1);
        for call in calls.iter().filter(|call| call.called_ms + call.held_ms <= asked_ms) {
            let called_at = START + MS(call.called_ms);
            let revision = if call.called_ms >= known_ms[call.other] { 2 } else { 1 };
            match call.other {
                0 => {
                    view = view.max(at(revision));
                    freshness.on_store_answer(called_at);
                }
                other => freshness.on_witness(called_at, daemon(names[other - 1]), at(revision)),
            }
        }
        let now = START + MS(asked_ms);
        let witnesses = names.iter().map(|name| daemon(name));
        let is_current = freshness.is_current(now, view, witnesses);
        let by_store = freshness.store_age(now).is_some_and(|age| age < MS(LONGEST_MS));
        let first_known = if by_store { known_ms[0] } else { known_ms[1..].iter().copied().min().unwrap_or(0) };
        if is_current && view == at(1) {
            prop_assert!(asked_ms < first_known + LONGEST_MS, "{asked_ms} ms, known at {known_ms:?}");
        }
    }
}

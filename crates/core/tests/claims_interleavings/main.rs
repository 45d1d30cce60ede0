//! Model check of the claim protocol over all interleavings of two entries, one endpoint daemon
//! that may restart, and a ledger whose responses may be lost.
//!
//! Invariants: a key never runs twice, and a key that ran is never reported as not run.

mod explore;
mod setup;
mod world;

use self::{
    explore::explore,
    setup::{Budget, Flaw},
    world::World,
};

struct Case {
    name: &'static str,
    flaw: Option<Flaw>,
    budget: Budget,
}

const WIDE: Budget = Budget { arrivals: 2, faults: 1, restarts: 1, crashes: 1, retargets: 1 };

/// Each flawed variant omits one rule of the protocol; the search must find the violation that the
/// rule prevents.
const CASES: &[Case] = &[
    Case { name: "protocol", flaw: None, budget: WIDE },
    Case {
        name: "faults without crashes",
        flaw: None,
        budget: Budget { arrivals: 2, faults: 2, restarts: 0, crashes: 0, retargets: 1 },
    },
    Case { name: "no seal", flaw: Some(Flaw::NoSeal), budget: WIDE },
    Case { name: "dispatch before claim", flaw: Some(Flaw::DispatchBeforeClaim), budget: WIDE },
    Case { name: "boot not checked", flaw: Some(Flaw::AnyBoot), budget: WIDE },
    Case { name: "other boot trusted", flaw: Some(Flaw::OtherBootBelieved), budget: WIDE },
    Case { name: "lost append assumed done", flaw: Some(Flaw::LostAppendTaken), budget: WIDE },
    Case { name: "unconditional release", flaw: Some(Flaw::BlindRelease), budget: WIDE },
];

#[test]
fn a_key_runs_at_most_once_and_not_run_is_true() {
    for case in CASES {
        let found = explore(World::new(case.budget, case.flaw));
        eprintln!("case={:?} states={} violation={:?}", case.name, found.states, found.violation);
        assert_eq!(found.violation.is_some(), case.flaw.is_some(), "{}", case.name);
        assert!(found.answered, "{}: no path delivered an answer", case.name);
    }
}

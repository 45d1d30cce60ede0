//! Model check of the claim protocol over all interleavings of two entry daemons, one endpoint
//! daemon that may restart, and a ledger whose responses may be lost.
//!
//! Invariants: a key never runs twice, and a key that ran is never reported as not run.

mod explore;
mod model_state;
mod setup;

use self::{
    explore::explore,
    model_state::ModelState,
    setup::{Budget, Flaw},
};

struct Case {
    name: &'static str,
    flaw: Option<Flaw>,
    budget: Budget,
}

const FULL_BUDGET: Budget =
    Budget { arrivals: 2, faults: 1, restarts: 1, crashes: 1, retargets: 1 };

/// Each flawed variant omits one rule of the protocol; the search must find the violation that the
/// rule prevents.
const CASES: &[Case] = &[
    Case { name: "protocol", flaw: None, budget: FULL_BUDGET },
    Case {
        name: "faults without crashes",
        flaw: None,
        budget: Budget { arrivals: 2, faults: 2, restarts: 0, crashes: 0, retargets: 1 },
    },
    Case { name: "no seal", flaw: Some(Flaw::NoSeal), budget: FULL_BUDGET },
    Case {
        name: "dispatch before claim",
        flaw: Some(Flaw::DispatchBeforeClaim),
        budget: FULL_BUDGET,
    },
    Case { name: "boot not checked", flaw: Some(Flaw::BootUnchecked), budget: FULL_BUDGET },
    Case { name: "other boot trusted", flaw: Some(Flaw::OtherBootTrusted), budget: FULL_BUDGET },
    Case {
        name: "lost append assumed done",
        flaw: Some(Flaw::LostAppendAssumedDone),
        budget: FULL_BUDGET,
    },
    Case {
        name: "unconditional release",
        flaw: Some(Flaw::UnconditionalRelease),
        budget: FULL_BUDGET,
    },
];

#[test]
fn a_key_runs_at_most_once_and_is_reported_correctly() {
    for case in CASES {
        let result = explore(ModelState::new(case.budget, case.flaw));
        eprintln!("case={:?} states={} violation={:?}", case.name, result.states, result.violation);
        assert_eq!(result.violation.is_some(), case.flaw.is_some(), "{}", case.name);
        assert!(result.answered, "{}: no path delivered an answer", case.name);
    }
}

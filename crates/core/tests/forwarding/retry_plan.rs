use cassiagw_core::forwarding::{
    ExecutionState,
    Fault::{self, ConnectFailed, Cut, Failed, NotExecuted, NotSent, Silent, WrongEndpoint},
    Refusal::{NotRun, TimedOut, Unknown},
    RetryDecision, RetryPlan,
    RouteKind::{self, ResumableStream, Safe, Stream, Unsafe},
    SharedRetryBudget,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const AMPLE_SLACK: f64 = 1_000.0;
const KINDS: [RouteKind; 4] = [Safe, Unsafe, Stream, ResumableStream];

fn budget(slack: f64) -> SharedRetryBudget {
    SharedRetryBudget::new(0.0, slack, Duration::from_secs(10))
}

#[test]
fn decision_after_a_sequence_of_faults() {
    use RetryDecision::{Refuse, RetryElsewhere};
    struct Case {
        kind: RouteKind,
        max_attempts: u32,
        faults: &'static [Fault],
        slack: f64,
        next: RetryDecision,
    }
    #[rustfmt::skip]
    let cases = [
        Case { kind: Unsafe, max_attempts: 1, faults: &[ConnectFailed], slack: 0.0, next: RetryElsewhere },
        Case { kind: Unsafe, max_attempts: 1, faults: &[ConnectFailed; 8], slack: 0.0, next: RetryElsewhere },
        Case { kind: Unsafe, max_attempts: 1, faults: &[ConnectFailed; 16], slack: AMPLE_SLACK, next: Refuse(NotRun) },
        Case { kind: Stream, max_attempts: 1, faults: &[ConnectFailed, ConnectFailed, ConnectFailed, NotExecuted], slack: AMPLE_SLACK, next: RetryElsewhere },
        Case { kind: Unsafe, max_attempts: 1, faults: &[NotSent], slack: 0.0, next: RetryElsewhere },
        Case { kind: Unsafe, max_attempts: 1, faults: &[NotExecuted], slack: AMPLE_SLACK, next: RetryElsewhere },
        Case { kind: Unsafe, max_attempts: 1, faults: &[NotExecuted], slack: 0.0, next: Refuse(NotRun) },
        Case { kind: Unsafe, max_attempts: 1, faults: &[WrongEndpoint], slack: AMPLE_SLACK, next: RetryElsewhere },
        Case { kind: Unsafe, max_attempts: 3, faults: &[Silent], slack: AMPLE_SLACK, next: Refuse(Unknown) },
        Case { kind: Unsafe, max_attempts: 3, faults: &[NotExecuted, Fault::Closed], slack: AMPLE_SLACK, next: Refuse(Unknown) },
        Case { kind: Unsafe, max_attempts: 3, faults: &[Failed], slack: AMPLE_SLACK, next: Refuse(Unknown) },
        Case { kind: Stream, max_attempts: 3, faults: &[Cut], slack: AMPLE_SLACK, next: Refuse(Unknown) },
        Case { kind: Safe, max_attempts: 2, faults: &[Silent], slack: AMPLE_SLACK, next: RetryElsewhere },
        Case { kind: Safe, max_attempts: 2, faults: &[Silent], slack: 0.0, next: Refuse(Unknown) },
        Case { kind: Safe, max_attempts: 2, faults: &[Failed, Failed], slack: AMPLE_SLACK, next: Refuse(Unknown) },
        Case { kind: Safe, max_attempts: 2, faults: &[Failed, NotExecuted], slack: AMPLE_SLACK, next: RetryElsewhere },
        Case { kind: Safe, max_attempts: 1, faults: &[Failed], slack: AMPLE_SLACK, next: Refuse(Unknown) },
        Case { kind: ResumableStream, max_attempts: 2, faults: &[Cut], slack: AMPLE_SLACK, next: RetryElsewhere },
        Case { kind: Safe, max_attempts: 9, faults: &[NotExecuted; 4], slack: AMPLE_SLACK, next: Refuse(NotRun) },
    ];
    for case in cases {
        let now = Instant::now();
        let mut budget = budget(case.slack);
        let mut plan = RetryPlan::new(case.kind, case.max_attempts, now + Duration::from_secs(1));
        let next =
            case.faults.iter().map(|fault| plan.on_fault(now, "e".into(), *fault, &mut budget));
        assert_eq!(next.last(), Some(case.next), "{:?} {:?}", case.kind, case.faults);
    }
}

#[test]
fn after_the_deadline_nothing_is_sent_and_an_unknown_outcome_timed_out() {
    let now = Instant::now();
    let deadline = now + Duration::from_millis(10);
    for (fault, refusal) in [(NotExecuted, NotRun), (Silent, TimedOut)] {
        let mut plan = RetryPlan::new(Safe, 2, deadline);
        let next = plan.on_fault(deadline, "e".into(), fault, &mut budget(AMPLE_SLACK));
        assert_eq!(next, RetryDecision::Refuse(refusal));
    }
}

proptest! {
    /// For any sequence of faults: a request that may run only once is not sent again after it may
    /// have run, and `NotRun` is reported only if every fault proves it.
    #[test]
    fn requests_run_at_most_once_and_not_run_is_proven(
        kind in 0..KINDS.len(),
        max_attempts in 1..4_u32,
        faults in prop::collection::vec(0..Fault::ALL.len(), 1..8),
        slack in 0..20_u8,
    ) {
        let now = Instant::now();
        let kind = KINDS[kind];
        let mut budget = budget(f64::from(slack));
        let mut plan = RetryPlan::new(kind, max_attempts, now + Duration::from_secs(1));
        let mut possible_runs = 0;
        for index in faults {
            let fault = Fault::ALL[index];
            possible_runs += u32::from(fault.execution_state() != ExecutionState::NotRun);
            match plan.on_fault(now, "e".into(), fault, &mut budget) {
                RetryDecision::RetryElsewhere => {
                    prop_assert!(possible_runs == 0 || kind.is_idempotent());
                    prop_assert!(possible_runs < max_attempts);
                }
                RetryDecision::Refuse(refusal) => {
                    prop_assert_eq!(refusal == NotRun, possible_runs == 0);
                    return Ok(());
                }
            }
        }
    }
}

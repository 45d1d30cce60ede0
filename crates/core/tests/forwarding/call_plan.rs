use cassiagw_core::forwarding::{
    CallPlan,
    Fault::{self, ConnectFailed, Cut, Failed, NotExecuted, NotSent, Silent, WrongEndpoint},
    Next, Proof,
    Refusal::{NotRun, TimedOut, Unknown},
    RepeatBudget,
    RouteKind::{self, ResumableStream, Safe, Stream, Unsafe},
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const AMPLE: f64 = 1_000.0;
const KINDS: [RouteKind; 4] = [Safe, Unsafe, Stream, ResumableStream];

fn budget(slack: f64) -> RepeatBudget {
    RepeatBudget::new(0.0, slack, Duration::from_secs(10))
}

#[test]
fn what_follows_a_fault() {
    use Next::{Answer, SendElsewhere};
    struct Case {
        kind: RouteKind,
        attempts: u32,
        faults: &'static [Fault],
        slack: f64,
        next: Next,
    }
    #[rustfmt::skip]
    let cases = [
        Case { kind: Unsafe, attempts: 1, faults: &[ConnectFailed], slack: 0.0, next: SendElsewhere },
        Case { kind: Unsafe, attempts: 1, faults: &[ConnectFailed; 8], slack: 0.0, next: SendElsewhere },
        Case { kind: Unsafe, attempts: 1, faults: &[ConnectFailed; 16], slack: AMPLE, next: Answer(NotRun) },
        Case { kind: Stream, attempts: 1, faults: &[ConnectFailed, ConnectFailed, ConnectFailed, NotExecuted], slack: AMPLE, next: SendElsewhere },
        Case { kind: Unsafe, attempts: 1, faults: &[NotSent], slack: 0.0, next: SendElsewhere },
        Case { kind: Unsafe, attempts: 1, faults: &[NotExecuted], slack: AMPLE, next: SendElsewhere },
        Case { kind: Unsafe, attempts: 1, faults: &[NotExecuted], slack: 0.0, next: Answer(NotRun) },
        Case { kind: Unsafe, attempts: 1, faults: &[WrongEndpoint], slack: AMPLE, next: SendElsewhere },
        Case { kind: Unsafe, attempts: 3, faults: &[Silent], slack: AMPLE, next: Answer(Unknown) },
        Case { kind: Unsafe, attempts: 3, faults: &[NotExecuted, Fault::Closed], slack: AMPLE, next: Answer(Unknown) },
        Case { kind: Unsafe, attempts: 3, faults: &[Failed], slack: AMPLE, next: Answer(Unknown) },
        Case { kind: Stream, attempts: 3, faults: &[Cut], slack: AMPLE, next: Answer(Unknown) },
        Case { kind: Safe, attempts: 2, faults: &[Silent], slack: AMPLE, next: SendElsewhere },
        Case { kind: Safe, attempts: 2, faults: &[Silent], slack: 0.0, next: Answer(Unknown) },
        Case { kind: Safe, attempts: 2, faults: &[Failed, Failed], slack: AMPLE, next: Answer(Unknown) },
        Case { kind: Safe, attempts: 2, faults: &[Failed, NotExecuted], slack: AMPLE, next: SendElsewhere },
        Case { kind: Safe, attempts: 1, faults: &[Failed], slack: AMPLE, next: Answer(Unknown) },
        Case { kind: ResumableStream, attempts: 2, faults: &[Cut], slack: AMPLE, next: SendElsewhere },
        Case { kind: Safe, attempts: 9, faults: &[NotExecuted; 4], slack: AMPLE, next: Answer(NotRun) },
    ];
    for case in cases {
        let now = Instant::now();
        let mut budget = budget(case.slack);
        let mut plan = CallPlan::new(case.kind, case.attempts, now + Duration::from_secs(1));
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
        let mut plan = CallPlan::new(Safe, 2, deadline);
        let next = plan.on_fault(deadline, "e".into(), fault, &mut budget(AMPLE));
        assert_eq!(next, Next::Answer(refusal));
    }
}

proptest! {
    /// For any sequence of faults: a request that may run only once is not sent again after it may
    /// have run, and `NotRun` is reported only if every fault proves it.
    #[test]
    fn at_most_once_and_true_refusals(
        kind in 0..KINDS.len(),
        attempts in 1..4_u32,
        faults in prop::collection::vec(0..Fault::ALL.len(), 1..8),
        slack in 0..20_u8,
    ) {
        let now = Instant::now();
        let kind = KINDS[kind];
        let mut budget = budget(f64::from(slack));
        let mut plan = CallPlan::new(kind, attempts, now + Duration::from_secs(1));
        let mut runs = 0;
        for index in faults {
            let fault = Fault::ALL[index];
            runs += u32::from(fault.proof() != Proof::NotRun);
            match plan.on_fault(now, "e".into(), fault, &mut budget) {
                Next::SendElsewhere => {
                    prop_assert!(runs == 0 || kind.is_idempotent());
                    prop_assert!(runs < attempts);
                }
                Next::Answer(refusal) => {
                    prop_assert_eq!(refusal == NotRun, runs == 0);
                    return Ok(());
                }
            }
        }
    }
}

use cassiagw_core::forwarding::SharedRetryBudget;
use proptest::prelude::*;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);

proptest! {
    /// With several daemons, the retries in any window stay within the ratio of requests plus the
    /// slack.
    #[test]
    fn the_shared_bound_holds_in_every_window(
        steps in prop::collection::vec((0..400_u64, any::<bool>(), 0..3_usize), 1..600),
    ) {
        let start = Instant::now();
        let (ratio, slack) = (0.2, 30.0);
        let mut daemons = vec![SharedRetryBudget::new(ratio, slack / 3.0, WINDOW); 3];
        let mut now = start;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (pause_ms, is_request, daemon) in steps {
            now += Duration::from_millis(pause_ms);
            match is_request {
                true => {
                    daemons[daemon].on_request(now);
                    requests.push(now);
                }
                false if daemons[daemon].take(now) => retries.push(now),
                false => {}
            }
        }
        for from in &retries {
            let within = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
            let retried = retries.iter().filter(within).count() as f64;
            // The bound counts the requests of the window and of the one before it.
            let before = from.checked_sub(WINDOW).unwrap_or(start);
            let counted = requests.iter().filter(|at| **at >= before && **at < *from + WINDOW);
            prop_assert!(retried <= ratio * counted.count() as f64 + slack);
        }
    }
}

#[test]
fn retries_are_allowed_again_in_the_next_window() {
    let now = Instant::now();
    let mut budget = SharedRetryBudget::new(0.0, 10.0, WINDOW);
    let taken = (0..20).filter(|_| budget.take(now)).count();
    assert_eq!(taken, 9, "the rest covers the delay with which daemons count each other");
    assert!(!budget.take(now + WINDOW / 2));
    assert!(budget.take(now + WINDOW));
    budget.set_slack(0.0);
    assert!(!budget.take(now + WINDOW));
}

//! Retries and hedges: which attempts may be repeated, and within which budget.

use cassiagw_core::retry::{
    AttemptOutcome::{self, NotRun, Refused, Run, Unknown},
    Attempts, HedgeDelay, NextStep, RetryBudget, RetryBudgetConfig, RetryConfig,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

fn budget(now: Instant, balance: u32) -> RetryBudget {
    let cfg = RetryBudgetConfig { initial: balance, ..RetryBudgetConfig::default() };
    RetryBudget::new(cfg, now)
}

#[test]
fn decision_after_each_outcome() {
    struct Case {
        name: &'static str,
        is_repeatable: bool,
        ends: &'static [AttemptOutcome],
        balance: u32,
        last: NextStep,
        proves_not_run: bool,
    }
    use NextStep::{GiveUp, TryElsewhere, TryLater};
    #[rustfmt::skip]
    let cases = [
        Case { name: "not repeatable, refused", is_repeatable: false, ends: &[Refused], balance: 0, last: TryElsewhere, proves_not_run: true },
        Case { name: "not repeatable, not run", is_repeatable: false, ends: &[NotRun], balance: 5, last: TryElsewhere, proves_not_run: true },
        Case { name: "not repeatable, run", is_repeatable: false, ends: &[Run], balance: 5, last: GiveUp, proves_not_run: false },
        Case { name: "not repeatable, unknown", is_repeatable: false, ends: &[Refused, Unknown], balance: 5, last: GiveUp, proves_not_run: false },
        Case { name: "repeatable, unknown", is_repeatable: true, ends: &[Unknown], balance: 5, last: TryElsewhere, proves_not_run: false },
        Case { name: "refused after unknown", is_repeatable: true, ends: &[Unknown, Refused], balance: 5, last: TryElsewhere, proves_not_run: false },
        Case { name: "budget exhausted", is_repeatable: true, ends: &[NotRun], balance: 0, last: TryLater, proves_not_run: true },
        Case { name: "attempts exhausted", is_repeatable: true, ends: &[Run, Run, Run, Run, Run, Run], balance: 9, last: GiveUp, proves_not_run: false },
        Case { name: "refusals exhausted", is_repeatable: true, ends: &[Refused, Refused, Refused, Refused], balance: 5, last: TryLater, proves_not_run: true },
    ];
    for case in cases {
        let now = Instant::now();
        let deadline = now + Duration::from_secs(10);
        let mut budget = budget(now, case.balance);
        let mut attempts = Attempts::new(RetryConfig::default(), case.is_repeatable, deadline);
        let steps = case.ends.iter().map(|end| attempts.on_end(now, "e".into(), *end, &mut budget));
        assert_eq!(steps.last(), Some(case.last), "{}", case.name);
        assert_eq!(attempts.proves_not_run(), case.proves_not_run, "{}", case.name);
    }
}

#[test]
fn retry_waits_for_budget_only_after_a_failure() {
    let now = Instant::now();
    let cfg = RetryBudgetConfig { initial: 0, min_per_s: 2, ..RetryBudgetConfig::default() };
    let mut budget = RetryBudget::new(cfg, now);
    let deadline = now + Duration::from_secs(10);
    let mut attempts = Attempts::new(RetryConfig::default(), true, deadline);
    assert_eq!(attempts.on_end(now, "a".into(), Run, &mut budget), NextStep::TryLater);
    assert_eq!(attempts.try_again(now, &mut budget), NextStep::TryLater);
    let later = now + Duration::from_millis(600);
    assert_eq!(attempts.try_again(later, &mut budget), NextStep::TryElsewhere);
    for endpoint in ["b", "c", "d", "e"] {
        attempts.on_end(later, endpoint.into(), Refused, &mut budget);
    }
    assert_eq!(attempts.tried().len(), 5);
    assert_eq!(
        attempts.try_again(later, &mut budget),
        NextStep::TryElsewhere,
        "a retry after refusals needs no budget"
    );
    assert_eq!(attempts.tried(), ["a".into()], "a failed endpoint stays excluded");
}

#[test]
fn nothing_is_tried_without_enough_time_left() {
    let now = Instant::now();
    let mut budget = budget(now, 10);
    let mut attempts = Attempts::new(RetryConfig::default(), true, now + Duration::from_millis(50));
    let late = now + Duration::from_millis(40);
    assert!(attempts.may_hedge(now, &mut budget));
    assert!(!attempts.may_hedge(late, &mut budget));
    assert_eq!(attempts.time_left(now), Duration::from_millis(40));
    assert_eq!(attempts.on_end(late, "e".into(), Refused, &mut budget), NextStep::GiveUp);
}

#[test]
fn hedge_delay_settles_at_the_95th_percentile() {
    let mut hedge = HedgeDelay::new(Duration::from_secs(2));
    (0..20_000u64).for_each(|i| hedge.observe(Duration::from_millis(i * 7_919 % 1_000)));
    let delay = hedge.delay();
    assert!(
        (Duration::from_millis(900)..Duration::from_millis(1_000)).contains(&delay),
        "{delay:?}"
    );
}

proptest! {
    /// Retries never exceed the initial budget plus what first attempts and elapsed time earned.
    #[test]
    fn retries_stay_within_the_budget(steps in proptest::collection::vec((any::<bool>(), 0u64..500), 1..400)) {
        let start = Instant::now();
        let cfg = RetryBudgetConfig::default();
        let mut budget = RetryBudget::new(cfg.clone(), start);
        let (mut now, mut first_attempts, mut retries) = (start, 0u64, 0u64);
        for (is_first_attempt, ms) in steps {
            now += Duration::from_millis(ms);
            if is_first_attempt {
                first_attempts += 1;
                budget.on_first_attempt();
            } else {
                retries += u64::from(budget.take(now));
            }
            let passed_ms = (now - start).as_millis() as u64;
            let floor = u64::from(cfg.initial) * 1_000 + u64::from(cfg.min_per_s) * passed_ms;
            let allowed = first_attempts * u64::from(cfg.share_permille) + floor;
            prop_assert!(retries * 1_000 <= allowed);
        }
    }
}

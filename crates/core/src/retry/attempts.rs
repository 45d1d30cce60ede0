use super::RetryBudget;
use crate::ids::EndpointId;
use std::time::{Duration, Instant};

/// Limits on the attempts of one request.
#[derive(Clone, Debug)]
pub struct RetryConfig {
    /// Maximum number of failed attempts, the first included; refusals do not count.
    pub max_attempts: u32,
    /// Number of refusals, counted since the last wait, after which the request waits again.
    pub max_refusals: u32,
    /// Minimum time left for another attempt.
    pub min_time_left: Duration,
    /// Time reserved before the deadline for returning the response to the caller.
    pub margin: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            max_attempts: 6,
            max_refusals: 4,
            min_time_left: Duration::from_millis(20),
            margin: Duration::from_millis(10),
        }
    }
}

/// Outcome of an attempt that did not yield a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint daemon refused the attempt: it provably did not run and cost almost nothing.
    Refused,
    /// The attempt failed and provably did not run.
    NotRun,
    /// The attempt ran partly or completely.
    Run,
    /// It is not known whether the attempt ran.
    Unknown,
}

/// Decision after an attempt that did not yield a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another endpoint now.
    TryElsewhere,
    /// Wait and then call [`Attempts::try_again`]: [`RetryConfig::max_refusals`] is reached, or the
    /// retry budget is exhausted.
    TryLater,
    /// Fail the request; [`Attempts::proves_not_run`] says whether it may be reported as not run.
    GiveUp,
}

/// State of one request's attempts, which decides on retries and hedges.
#[derive(Clone, Debug)]
pub struct Attempts {
    cfg: RetryConfig,
    is_repeatable: bool,
    deadline: Instant,
    /// The first `failures` endpoints failed; the rest refused since the last wait.
    tried: Vec<EndpointId>,
    failures: u32,
    /// Whether an attempt failed whose retry has not been taken from the budget yet.
    needs_budget: bool,
    may_have_run: bool,
}

impl Attempts {
    /// Creates the state of a new request; `is_repeatable` says whether it is safe to run twice.
    pub fn new(cfg: RetryConfig, is_repeatable: bool, deadline: Instant) -> Self {
        Self {
            cfg,
            is_repeatable,
            deadline,
            tried: Vec::new(),
            failures: 0,
            needs_budget: false,
            may_have_run: false,
        }
    }

    /// Endpoints to exclude from the next attempt.
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Endpoints that have refused since the last wait.
    pub fn refused(&self) -> &[EndpointId] {
        &self.tried[self.failures as usize..]
    }

    /// Timeout for the next attempt: time until the deadline less the reserved margin.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now).saturating_sub(self.cfg.margin)
    }

    /// Returns whether it is proven that no attempt ran, so that the caller can safely repeat the
    /// request.
    pub fn proves_not_run(&self) -> bool {
        !self.may_have_run
    }

    /// Records the end of an attempt without a complete response and decides what follows.
    ///
    /// A retry after a failure takes from `budget`; one after a refusal does not.
    pub fn on_end(
        &mut self,
        now: Instant,
        endpoint: EndpointId,
        outcome: AttemptOutcome,
        budget: &mut RetryBudget,
    ) -> NextStep {
        self.may_have_run |= matches!(outcome, AttemptOutcome::Run | AttemptOutcome::Unknown);
        if outcome == AttemptOutcome::Refused {
            self.tried.push(endpoint);
            return self.after_refusal(now);
        }
        self.tried.insert(self.failures as usize, endpoint);
        self.failures += 1;
        self.needs_budget = true;
        self.after_failure(now, budget)
    }

    /// Decides again after a wait; endpoints that refused may be tried again.
    pub fn try_again(&mut self, now: Instant, budget: &mut RetryBudget) -> NextStep {
        self.tried.truncate(self.failures as usize);
        self.after_failure(now, budget)
    }

    fn after_refusal(&self, now: Instant) -> NextStep {
        let refusals = self.tried.len() - self.failures as usize;
        match () {
            _ if !self.may_try(now) => NextStep::GiveUp,
            _ if refusals < self.cfg.max_refusals as usize => NextStep::TryElsewhere,
            _ => NextStep::TryLater,
        }
    }

    fn after_failure(&mut self, now: Instant, budget: &mut RetryBudget) -> NextStep {
        if !self.may_try(now) {
            return NextStep::GiveUp;
        }
        if self.needs_budget && !budget.take(now) {
            return NextStep::TryLater;
        }
        self.needs_budget = false;
        NextStep::TryElsewhere
    }

    fn may_try(&self, now: Instant) -> bool {
        (self.is_repeatable || !self.may_have_run)
            && self.failures < self.cfg.max_attempts
            && self.time_left(now) >= self.cfg.min_time_left
    }

    /// Decides whether to hedge: to start a second attempt while the slow first one still runs.
    ///
    /// Takes from `budget` if it returns true.
    pub fn may_hedge(&self, now: Instant, budget: &mut RetryBudget) -> bool {
        self.is_repeatable
            && self.failures == 0
            && self.time_left(now) >= self.cfg.min_time_left
            && budget.take(now)
    }
}

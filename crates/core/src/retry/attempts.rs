use super::RetryBudget;
use crate::ids::EndpointId;
use std::time::{Duration, Instant};

/// Settings of [`Attempts`].
#[derive(Clone, Debug)]
pub struct RetryConfig {
    /// Attempts of one request at most, the first included.
    pub max_attempts: u32,
    /// Endpoints that are asked in a row while all refuse.
    pub max_refusals: u32,
    /// Time left below which nothing is tried again.
    pub min_time_left: Duration,
    /// Time kept back of each attempt's time for the way back to the caller.
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

/// How an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The endpoint daemon refused it: proven not run, and next to no work was spent.
    Refused,
    /// It failed, proven not run.
    NotRun,
    /// It ran in part or wholly.
    Run,
    /// Neither can be proven.
    Unknown,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another endpoint.
    TryElsewhere,
    /// Wait a moment and ask [`Attempts::try_again`]: there is no room, or the budget is spent.
    TryLater,
    /// Stop. What the caller may be told follows from [`Attempts::proves_not_run`].
    GiveUp,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    cfg: RetryConfig,
    is_repeatable: bool,
    deadline: Instant,
    /// Endpoints that failed, then those that refused since.
    tried: Vec<EndpointId>,
    failures: u32,
    owes_retry: bool,
    may_have_run: bool,
}

impl Attempts {
    /// Starts a request; `is_repeatable` says whether it may run twice.
    pub fn new(cfg: RetryConfig, is_repeatable: bool, deadline: Instant) -> Self {
        Self {
            cfg,
            is_repeatable,
            deadline,
            tried: Vec::new(),
            failures: 0,
            owes_retry: false,
            may_have_run: false,
        }
    }

    /// Endpoints not to be tried again.
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Endpoints that refused since the last wait.
    pub fn refused(&self) -> &[EndpointId] {
        &self.tried[self.failures as usize..]
    }

    /// Time to give the next attempt.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now).saturating_sub(self.cfg.margin)
    }

    /// Whether no attempt can have run, so that the caller may be told so.
    pub fn proves_not_run(&self) -> bool {
        !self.may_have_run
    }

    /// Decides after the end of an attempt that brought no whole answer.
    pub fn on_end(
        &mut self,
        now: Instant,
        endpoint: EndpointId,
        end: AttemptEnd,
        budget: &mut RetryBudget,
    ) -> NextStep {
        self.may_have_run |= matches!(end, AttemptEnd::Run | AttemptEnd::Unknown);
        if end == AttemptEnd::Refused {
            self.tried.push(endpoint);
            return self.after_refusal(now);
        }
        self.tried.insert(self.failures as usize, endpoint);
        self.failures += 1;
        self.owes_retry = true;
        self.after_failure(now, budget)
    }

    /// Decides again after a wait; endpoints that refused may be asked once more.
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
        if self.owes_retry && !budget.take(now) {
            return NextStep::TryLater;
        }
        self.owes_retry = false;
        NextStep::TryElsewhere
    }

    fn may_try(&self, now: Instant) -> bool {
        (self.is_repeatable || !self.may_have_run)
            && self.failures < self.cfg.max_attempts
            && self.time_left(now) >= self.cfg.min_time_left
    }

    /// Decides whether a second attempt may run beside the first, which is slow.
    pub fn may_hedge(&self, now: Instant, budget: &mut RetryBudget) -> bool {
        self.is_repeatable
            && self.failures == 0
            && self.time_left(now) >= self.cfg.min_time_left
            && budget.take(now)
    }
}

use super::RetryBudget;
use crate::ids::EndpointId;
use std::time::{Duration, Instant};

/// Settings of [`Attempts`].
#[derive(Clone, Debug)]
pub struct RetryConfig {
    /// Attempts of one request at most, the first included.
    pub max_attempts: u32,
    /// Endpoints that may refuse one request before it is refused itself.
    pub max_refusals: u32,
    /// Time left below which nothing is tried again.
    pub min_time_left: Duration,
    /// Time kept back of each attempt's time for the way back to the caller.
    pub margin: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            max_attempts: 3,
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
    /// Stop. What the caller may be told follows from [`Attempts::proves_not_run`].
    GiveUp,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    cfg: RetryConfig,
    is_repeatable: bool,
    deadline: Instant,
    tried: Vec<EndpointId>,
    failures: u32,
    refusals: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Starts a request; `is_repeatable` says whether it may run twice.
    pub fn new(cfg: RetryConfig, is_repeatable: bool, deadline: Instant) -> Self {
        let tried = Vec::new();
        Self { cfg, is_repeatable, deadline, tried, failures: 0, refusals: 0, may_have_run: false }
    }

    /// Endpoints not to be tried again.
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
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
        self.tried.push(endpoint);
        self.may_have_run |= matches!(end, AttemptEnd::Run | AttemptEnd::Unknown);
        match end {
            AttemptEnd::Refused => self.refusals += 1,
            AttemptEnd::NotRun | AttemptEnd::Run | AttemptEnd::Unknown => self.failures += 1,
        }
        let may_try = (self.is_repeatable || !self.may_have_run)
            && self.failures < self.cfg.max_attempts
            && self.refusals < self.cfg.max_refusals
            && self.time_left(now) >= self.cfg.min_time_left;
        if may_try && (end == AttemptEnd::Refused || budget.take(now)) {
            NextStep::TryElsewhere
        } else {
            NextStep::GiveUp
        }
    }

    /// Decides whether a second attempt may run beside the first, which is slow.
    pub fn may_hedge(&self, now: Instant, budget: &mut RetryBudget) -> bool {
        self.is_repeatable
            && self.failures == 0
            && self.time_left(now) >= self.cfg.min_time_left
            && budget.take(now)
    }
}

use super::{ExecutionState, Fault, RouteKind, SharedRetryBudget};
use crate::ids::EndpointId;
use std::time::{Duration, Instant};

/// Maximum number of endpoints that may receive one request, including those that reject it.
const MAX_ENDPOINTS_REACHED: u32 = 4;
/// Maximum number of endpoints tried for one request, including those that cannot be reached.
const MAX_TRIED: usize = 16;

/// Minimum time before the deadline for a retry to be attempted.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry the request on another endpoint.
    RetryElsewhere,
    /// Return an error to the caller.
    Refuse(Refusal),
}

/// Error returned to the caller when no endpoint's answer can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request did not run and never will; the caller may retry it later (503).
    NotRun,
    /// The request may have run (502).
    Unknown,
    /// The request may have run, and its deadline has passed (504).
    TimedOut,
}

/// Attempt history of one request, from which retries and the error for the caller are decided.
#[derive(Clone, Debug)]
pub struct RetryPlan {
    kind: RouteKind,
    max_attempts: u32,
    deadline: Instant,
    /// Endpoints that were tried, in order.
    tried: Vec<EndpointId>,
    /// Number of endpoints that received at least part of the request.
    endpoints_reached: u32,
    /// Number of endpoints on which the request may have run.
    possible_runs: u32,
    execution_state: ExecutionState,
    is_stopped: bool,
}

impl RetryPlan {
    /// Creates the plan of a request that may run on at most `max_attempts` endpoints.
    pub fn new(kind: RouteKind, max_attempts: u32, deadline: Instant) -> Self {
        Self {
            kind,
            max_attempts,
            deadline,
            tried: Vec::new(),
            endpoints_reached: 0,
            possible_runs: 0,
            execution_state: ExecutionState::NotRun,
            is_stopped: false,
        }
    }

    /// Forbids further attempts once the request may have run, for example because it may crash the
    /// next endpoint too.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Endpoints tried so far, in order; these are excluded from further attempts.
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Strongest evidence, over all attempts so far, that the request ran.
    pub fn execution_state(&self) -> ExecutionState {
        self.execution_state
    }

    /// Time left until the deadline; zero once it has passed.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Whether the request may run once more if the attempt in progress fails after it may have
    /// run.
    pub fn may_run_again(&self) -> bool {
        self.kind.is_idempotent() && self.possible_runs + 1 < self.max_attempts
    }

    /// Records a failed attempt and decides whether to retry.
    ///
    /// A retry consumes the budget only once some endpoint has received the request; connection
    /// failures before that are free.
    pub fn on_fault(
        &mut self,
        now: Instant,
        endpoint: EndpointId,
        fault: Fault,
        budget: &mut SharedRetryBudget,
    ) -> RetryDecision {
        self.tried.push(endpoint);
        self.execution_state = self.execution_state.max(fault.execution_state());
        self.possible_runs += u32::from(fault.execution_state() != ExecutionState::NotRun);
        self.endpoints_reached += u32::from(fault.has_reached_endpoint());
        let is_retry = self.endpoints_reached > 0;
        if self.may_send_again(now) && (!is_retry || budget.take(now)) {
            return RetryDecision::RetryElsewhere;
        }
        RetryDecision::Refuse(self.refusal(now))
    }

    /// Error for the caller when there is no answer to forward.
    pub fn refusal(&self, now: Instant) -> Refusal {
        match self.execution_state {
            ExecutionState::NotRun => Refusal::NotRun,
            _ if self.time_left(now).is_zero() => Refusal::TimedOut,
            _ => Refusal::Unknown,
        }
    }

    fn may_send_again(&self, now: Instant) -> bool {
        self.tried.len() < MAX_TRIED
            && self.endpoints_reached < MAX_ENDPOINTS_REACHED
            && self.possible_runs < self.max_attempts
            && !(self.is_stopped && self.possible_runs > 0)
            && (self.execution_state == ExecutionState::NotRun || self.kind.is_idempotent())
            && self.time_left(now) >= MIN_TIME_LEFT
    }
}

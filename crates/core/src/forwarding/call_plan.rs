use super::{Fault, Proof, RepeatBudget, RouteKind};
use crate::ids::EndpointId;
use std::time::{Duration, Instant};

/// Maximum number of endpoints that may receive one request, including those that reject it.
const MAX_ARRIVALS: u32 = 4;
/// Maximum number of endpoints tried for one request, including those that cannot be reached.
const MAX_TRIED: usize = 16;

/// Minimum time before the deadline for a retry to be attempted.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Retry the request on another endpoint.
    SendElsewhere,
    /// Return an error to the caller.
    Answer(Refusal),
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
pub struct CallPlan {
    kind: RouteKind,
    max_attempts: u32,
    deadline: Instant,
    /// Endpoints that were tried, in order.
    tried: Vec<EndpointId>,
    /// Number of endpoints that received at least part of the request.
    arrivals: u32,
    /// Number of endpoints on which the request may have run.
    runs: u32,
    proof: Proof,
}

impl CallPlan {
    /// Creates the plan of a request that may run on at most `max_attempts` endpoints.
    pub fn new(kind: RouteKind, max_attempts: u32, deadline: Instant) -> Self {
        Self {
            kind,
            max_attempts,
            deadline,
            tried: Vec::new(),
            arrivals: 0,
            runs: 0,
            proof: Proof::NotRun,
        }
    }

    /// Endpoints tried so far, in order; these are excluded from further attempts.
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Strongest evidence, over all attempts so far, that the request ran.
    pub fn proof(&self) -> Proof {
        self.proof
    }

    /// Time left until the deadline; zero once it has passed.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Whether the request may run once more if the attempt in progress fails after it may have
    /// run.
    pub fn may_run_again(&self) -> bool {
        self.kind.is_idempotent() && self.runs + 1 < self.max_attempts
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
        budget: &mut RepeatBudget,
    ) -> Next {
        self.tried.push(endpoint);
        self.proof = self.proof.max(fault.proof());
        self.runs += u32::from(fault.proof() != Proof::NotRun);
        self.arrivals += u32::from(fault.has_arrived());
        let is_repeat = self.arrivals > 0;
        if self.may_send_again(now) && (!is_repeat || budget.take(now)) {
            return Next::SendElsewhere;
        }
        Next::Answer(self.refusal(now))
    }

    /// Error for the caller when there is no answer to forward.
    pub fn refusal(&self, now: Instant) -> Refusal {
        match self.proof {
            Proof::NotRun => Refusal::NotRun,
            _ if self.time_left(now).is_zero() => Refusal::TimedOut,
            _ => Refusal::Unknown,
        }
    }

    fn may_send_again(&self, now: Instant) -> bool {
        self.tried.len() < MAX_TRIED
            && self.arrivals < MAX_ARRIVALS
            && self.runs < self.max_attempts
            && (self.proof == Proof::NotRun || self.kind.is_idempotent())
            && self.time_left(now) >= MIN_TIME_LEFT
    }
}

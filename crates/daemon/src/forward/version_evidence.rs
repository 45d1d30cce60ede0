//! Outcomes of requests as evidence for or against the version of their endpoint.

use super::attempt::Attempt;
use cassiagw_core::forwarding::{AnswerOutcome, Fault};
use hyper::StatusCode;
use std::time::{Duration, Instant};

impl Attempt {
    /// Counts the outcome of the attempt for the version of the endpoint, if a rollout runs. Only the
    /// first call has an effect.
    pub(super) fn judge(&mut self, fault: Option<Fault>) {
        let entry = &self.placement.picked.entry;
        let is_first = !std::mem::replace(&mut self.is_judged, true);
        let is_counted = self.placement.is_counted();
        // Faults also tell of the availability zone, for rollouts of other services.
        if !is_first || (!is_counted && fault.is_none()) {
            return;
        }
        let outcome = outcome(fault, self.answered);
        let is_cold = self.placement.picked.inputs.is_cold;
        let outcome = if is_cold { without_slowness(outcome, fault) } else { outcome };
        if is_counted {
            self.fw.metrics.count_version_outcome(outcome);
        }
        let route = &self.call.route.name;
        let now = Instant::now();
        let is_silent = fault == Some(Fault::Silent);
        if self.fw.state().endpoints.count_outcome(now, route, entry, outcome, is_silent) {
            self.fw.report_due.notify_one();
        }
    }
}

/// What the end of an attempt tells of a version. `answered` is the status of its answer and the
/// time until that arrived.
fn outcome(fault: Option<Fault>, answered: Option<(StatusCode, Duration)>) -> AnswerOutcome {
    let first_byte = answered.map(|(_, first_byte)| first_byte);
    match fault {
        None => match answered {
            Some((status, first_byte)) if status.is_server_error() => {
                AnswerOutcome::Bad { first_byte: Some(first_byte) }
            }
            Some((_, first_byte)) => AnswerOutcome::Good { first_byte },
            None => AnswerOutcome::Ignored,
        },
        Some(Fault::Closed | Fault::Cut) => AnswerOutcome::Cut,
        Some(Fault::Garbled | Fault::WrongAnswer | Fault::Failed | Fault::Silent) => {
            AnswerOutcome::Bad { first_byte }
        }
        Some(
            Fault::ConnectFailed
            | Fault::NotSent
            | Fault::NotExecuted
            | Fault::WrongEndpoint
            | Fault::WrongWeights
            | Fault::Outdated
            | Fault::Quarantined
            | Fault::Oversized,
        ) => AnswerOutcome::Ignored,
    }
}

/// The same of a cold endpoint, whose slowness tells nothing.
fn without_slowness(outcome: AnswerOutcome, fault: Option<Fault>) -> AnswerOutcome {
    match outcome {
        AnswerOutcome::Good { .. } => AnswerOutcome::Ignored,
        AnswerOutcome::Bad { .. } if fault == Some(Fault::Silent) => AnswerOutcome::Ignored,
        outcome => outcome,
    }
}

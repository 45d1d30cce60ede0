//! Outcomes of requests as evidence for or against the version of their endpoint.

use super::{attempt::Attempt, call::Call, cut_evidence::count_cut, forwarder::Forwarder};
use cassiagw_core::forwarding::{AnswerOutcome, EndpointEntry, Fault};
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
        let is_silent = fault == Some(Fault::Silent);
        if is_counted && outcome == AnswerOutcome::Cut {
            let (fw, call, entry) = (self.fw.clone(), self.call.clone(), entry.clone());
            tokio::spawn(count_cut(fw, call, entry, Instant::now()));
            return;
        }
        if is_counted {
            count_outcome(&self.fw, &self.call, entry, outcome, is_silent);
        } else if outcome == AnswerOutcome::Cut {
            self.fw.state().endpoints.count_zone_cut(Instant::now(), entry);
        }
    }
}

/// Counts an outcome for the version of its endpoint.
pub(super) fn count_outcome(
    fw: &Forwarder,
    call: &Call,
    entry: &EndpointEntry,
    outcome: AnswerOutcome,
    is_silent: bool,
) {
    fw.metrics.count_version_outcome(outcome);
    let (now, route) = (Instant::now(), &call.route.name);
    if fw.state().endpoints.count_outcome(now, route, entry, outcome, is_silent) {
        fw.report_due.notify_one();
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

/// Ignores slowness, which says nothing of the version of a cold endpoint.
fn without_slowness(outcome: AnswerOutcome, fault: Option<Fault>) -> AnswerOutcome {
    match outcome {
        AnswerOutcome::Good { .. } => AnswerOutcome::Ignored,
        AnswerOutcome::Bad { .. } if fault == Some(Fault::Silent) => AnswerOutcome::Ignored,
        outcome => outcome,
    }
}

use super::AdmissionGate;
use cassiagw_core::{admission::RequestOutcome, ids::AttemptId};
use tokio::sync::oneshot;

/// Attempt in the queue of an endpoint; dropping it leaves the queue.
#[derive(Debug)]
pub struct QueuedAttempt {
    gate: AdmissionGate,
    id: AttemptId,
    start: oneshot::Receiver<()>,
    was_started: bool,
}

/// Permission to run one attempt; dropping it counts the attempt as canceled.
#[derive(Debug)]
pub struct Permit {
    gate: AdmissionGate,
    id: AttemptId,
    outcome: RequestOutcome,
}

impl QueuedAttempt {
    pub(super) fn new(gate: AdmissionGate, id: AttemptId, start: oneshot::Receiver<()>) -> Self {
        Self { gate, id, start, was_started: false }
    }

    /// Waits until the attempt may start; `None` if its deadline passed first.
    pub async fn wait(mut self) -> Option<Permit> {
        let is_started = (&mut self.start).await.is_ok();
        self.was_started = is_started;
        is_started.then(|| self.gate.permit(self.id))
    }
}

impl Drop for QueuedAttempt {
    fn drop(&mut self) {
        if !self.was_started {
            self.gate.on_abandoned(self.id);
        }
    }
}

impl Permit {
    pub(super) fn new(gate: AdmissionGate, id: AttemptId) -> Self {
        Self { gate, id, outcome: RequestOutcome::Cancelled }
    }

    /// Reports that stored cache blocks are being fetched before the prompt is computed.
    pub fn on_fetching(&self) {
        self.gate.on_fetching(self.id);
    }

    /// Reports that the fetch has ended and how many prompt tokens remain to be computed.
    pub fn on_fetched(&self, tokens: u32) {
        self.gate.on_fetched(self.id, tokens);
    }

    /// Reports that the first token was generated.
    pub fn on_first_token(&self) {
        self.gate.on_first_token(self.id);
    }

    /// Releases the slot and reports how the attempt ended.
    pub fn finish(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.on_finished(self.id, self.outcome);
    }
}

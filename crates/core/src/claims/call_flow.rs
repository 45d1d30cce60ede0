use super::{
    Answer, Attempt, Body, ClaimKey, ClaimRecord, Fingerprint, KeyStatus, Outcome, Resolved,
};
use crate::ids::{AttemptId, BootId};
use serde::{Deserialize, Serialize};

/// Default number of times that a call may choose an endpoint again, because its attempt provably
/// did not run or because it found the key free.
const MAX_RETARGETS: u8 = 3;

/// State machine of one at-most-once call, from its claim to its reply.
///
/// Each `on_` method takes the result of the previous action and returns the next one. An attempt
/// is dispatched at most once, and only after the ledger has confirmed it as the key's pending
/// attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallFlow {
    key: ClaimKey,
    fingerprint: Fingerprint,
    kept_until_ms: u64,
    /// Attempt that this call submitted and has not dispatched yet.
    submitted: Option<AttemptId>,
    /// Attempt that provably did not run but is still pending in the ledger.
    unexecuted: Option<AttemptId>,
    /// Whether the last submitted record was a release of the key.
    is_releasing: bool,
    /// Whether the last endpoint selection found none.
    is_without_endpoint: bool,
    /// Attempt of another call that this call has already waited for.
    awaited: Option<Attempt>,
    retargets_left: u8,
}

/// Next step for the driver of a [`CallFlow`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Choose an endpoint and allocate an attempt; then [`CallFlow::on_target`].
    Choose,
    /// Append the record to the ledger and read the key's status; then
    /// [`CallFlow::on_key_status`].
    Submit(ClaimRecord),
    /// Read the key's status; then [`CallFlow::on_key_status`].
    ReadKey,
    /// Wait to give the call that holds the key time to dispatch, since resolving its attempt
    /// before that would seal it; then [`CallFlow::on_waited`].
    Wait,
    /// Send the attempt to its endpoint daemon, once; then [`CallFlow::on_opened`].
    Dispatch(Attempt),
    /// Wait for the attempt to end; then [`CallFlow::on_ended`] or [`CallFlow::on_lost`].
    Follow(Attempt),
    /// Query the endpoint daemon for the attempt's state; then [`CallFlow::on_resolved`].
    Resolve(Attempt),
    /// Reply to the caller and, if there is a record, append it in the background.
    Reply(CallReply, Option<ClaimRecord>),
}

/// Reply of a [`CallFlow`] to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallReply {
    /// The service answered.
    Answer {
        /// Status, content type and body that the service returned.
        answer: Answer,
        /// Whether this is the stored answer of an earlier request with the same key.
        is_replay: bool,
    },
    /// The call ended without an answer.
    Failed {
        /// Reason.
        reason: FailureReason,
        /// `Some(true)` if the request provably did not run, `Some(false)` if it ran, `None` if
        /// neither can be proven.
        not_run: Option<bool>,
    },
}

/// Reason for which a call ends without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureReason {
    /// The key is in use for a request with different content.
    KeyConflict,
    /// The ledger is unavailable, so the claim cannot be recorded or read.
    ClaimsUnavailable,
    /// No endpoint accepts work.
    NoEndpoint,
    /// Every attempt was refused or provably did not run, and no retarget is left.
    Refused,
    /// It is unknown whether the request ran.
    OutcomeUnknown,
    /// The request ran earlier, but its answer exceeded the size limit for stored answers.
    AnswerNotKept,
}

/// Status of a key, read after the submitted record was appended, if there was one.
pub type SubmitResult = Result<KeyStatus, SubmitError>;

/// The ledger could not be reached or its response was lost. A submitted record may still be
/// committed at any later time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SubmitError {
    /// Whether the shard's owner has every record up to the outage and the key is free after them.
    pub is_known_free: bool,
}

/// Result of sending an attempt to its endpoint daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OpenResult {
    /// The endpoint daemon has accepted the attempt.
    Accepted,
    /// The endpoint daemon refused the attempt permanently, or nothing was sent.
    Refused,
    /// The request was sent, but no reply was received.
    Lost,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Ended {
    /// The service answered.
    Answered(Answer),
    /// The service never received the request.
    NotRun,
    /// It is unknown whether the service executed the request.
    Unknown,
}

/// Result of querying an endpoint daemon for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResolveResult {
    /// No endpoint daemon answered.
    Unreachable,
    /// Boot of the daemon that answered and the state it reported.
    Reported(BootId, Resolved<Ended>),
}

impl CallFlow {
    /// Starts the flow of a request; the first action is [`Action::Choose`].
    pub fn new(key: ClaimKey, fingerprint: Fingerprint, kept_until_ms: u64) -> Self {
        Self {
            key,
            fingerprint,
            kept_until_ms,
            submitted: None,
            unexecuted: None,
            is_releasing: false,
            is_without_endpoint: false,
            awaited: None,
            retargets_left: MAX_RETARGETS,
        }
    }

    /// Sets how many times the call may choose an endpoint again; the default is 3.
    pub fn with_retargets(mut self, retargets: u8) -> Self {
        self.retargets_left = retargets;
        self
    }

    /// Handles the endpoint selection; `None` means that no endpoint accepts work.
    pub fn on_target(&mut self, attempt: Option<Attempt>) -> Action {
        let Some(attempt) = attempt else {
            self.is_without_endpoint = true;
            return self.unexecuted.map_or(Action::ReadKey, |from| self.release(from));
        };
        self.is_without_endpoint = false;
        self.submitted = Some(attempt.id);
        Action::Submit(self.claim(attempt))
    }

    /// Handles the key's status, read after the submitted record was appended, if there was one.
    pub fn on_key_status(&mut self, result: SubmitResult) -> Action {
        let submitted = self.submitted.take();
        let was_releasing = std::mem::take(&mut self.is_releasing);
        match result {
            Ok(KeyStatus::Pending(attempt)) if Some(attempt.id) == submitted => {
                self.unexecuted = None;
                Action::Dispatch(attempt)
            }
            Ok(KeyStatus::Pending(attempt)) => self.on_other_attempt(attempt),
            Ok(KeyStatus::Free) => self.on_free(was_releasing),
            // The key belongs to a request with different content that ran or may run.
            Ok(KeyStatus::Conflict) => fail(FailureReason::KeyConflict, None),
            Ok(KeyStatus::Settled(outcome)) => replay(outcome),
            Err(error) => self.on_unavailable(error),
        }
    }

    /// Handles the end of [`Action::Wait`].
    pub fn on_waited(&mut self) -> Action {
        Action::ReadKey
    }

    /// Handles the result of [`Action::Dispatch`].
    pub fn on_opened(&mut self, attempt: Attempt, result: OpenResult) -> Action {
        match result {
            OpenResult::Accepted => Action::Follow(attempt),
            OpenResult::Refused => self.on_unexecuted(attempt.id),
            OpenResult::Lost => Action::Resolve(attempt),
        }
    }

    /// Handles the result of an attempt.
    pub fn on_ended(&mut self, attempt: &Attempt, ended: Ended) -> Action {
        match ended {
            Ended::Answered(answer) => self.reply_answer(attempt.id, answer),
            Ended::NotRun => self.on_unexecuted(attempt.id),
            Ended::Unknown => self.reply_unknown(attempt.id),
        }
    }

    /// Handles the loss of the connection on which an attempt is followed.
    pub fn on_lost(&mut self, attempt: Attempt) -> Action {
        Action::Resolve(attempt)
    }

    /// Handles the result of [`Action::Resolve`].
    pub fn on_resolved(&mut self, attempt: Attempt, result: ResolveResult) -> Action {
        match result {
            ResolveResult::Unreachable => fail(FailureReason::OutcomeUnknown, None),
            // The earlier boot may have run the attempt, and its record is lost.
            ResolveResult::Reported(boot, _) if boot != attempt.boot => {
                self.reply_unknown(attempt.id)
            }
            ResolveResult::Reported(_, Resolved::Sealed) => self.on_unexecuted(attempt.id),
            ResolveResult::Reported(_, Resolved::Running) => Action::Follow(attempt),
            ResolveResult::Reported(_, Resolved::Ended(ended)) => self.on_ended(&attempt, ended),
            ResolveResult::Reported(_, Resolved::Forgotten) => self.reply_unknown(attempt.id),
        }
    }

    fn claim(&self, attempt: Attempt) -> ClaimRecord {
        let key = self.key.clone();
        match self.unexecuted {
            Some(from) => ClaimRecord::Retarget { key, from, attempt },
            None => ClaimRecord::Claim {
                key,
                fingerprint: self.fingerprint,
                attempt,
                kept_until_ms: self.kept_until_ms,
            },
        }
    }

    fn release(&mut self, from: AttemptId) -> Action {
        self.is_releasing = true;
        Action::Submit(ClaimRecord::Release { key: self.key.clone(), from })
    }

    fn on_other_attempt(&mut self, attempt: Attempt) -> Action {
        self.unexecuted = None;
        if self.awaited.is_none() {
            self.awaited = Some(attempt);
            return Action::Wait;
        }
        Action::Resolve(attempt)
    }

    fn on_free(&mut self, was_releasing: bool) -> Action {
        self.unexecuted = None;
        if self.is_without_endpoint {
            return fail(FailureReason::NoEndpoint, Some(true));
        }
        if was_releasing || self.retargets_left == 0 {
            return fail(FailureReason::Refused, Some(true));
        }
        self.retargets_left -= 1;
        Action::Choose
    }

    fn on_unavailable(&mut self, error: SubmitError) -> Action {
        match self.awaited.take() {
            Some(attempt) if self.unexecuted.is_none() => Action::Resolve(attempt),
            // Another call may have retargeted or released the key in the meantime, so the request
            // may have run although this call's attempt did not.
            _ if self.unexecuted.is_some() => fail(FailureReason::ClaimsUnavailable, None),
            _ => fail(FailureReason::ClaimsUnavailable, error.is_known_free.then_some(true)),
        }
    }

    fn on_unexecuted(&mut self, id: AttemptId) -> Action {
        self.unexecuted = Some(id);
        if self.retargets_left == 0 {
            return self.release(id);
        }
        self.retargets_left -= 1;
        Action::Choose
    }

    fn reply_answer(&self, from: AttemptId, answer: Answer) -> Action {
        let outcome = Outcome::Answered(answer.clone().into_stored());
        let settle = ClaimRecord::Settle { key: self.key.clone(), from, outcome };
        Action::Reply(CallReply::Answer { answer, is_replay: false }, Some(settle))
    }

    fn reply_unknown(&self, from: AttemptId) -> Action {
        let outcome = Outcome::Unknown;
        let settle = ClaimRecord::Settle { key: self.key.clone(), from, outcome };
        let reply = CallReply::Failed { reason: FailureReason::OutcomeUnknown, not_run: None };
        Action::Reply(reply, Some(settle))
    }
}

fn fail(reason: FailureReason, not_run: Option<bool>) -> Action {
    Action::Reply(CallReply::Failed { reason, not_run }, None)
}

fn replay(outcome: Outcome) -> Action {
    match outcome {
        Outcome::Answered(Answer { body: Body::Digest { .. }, .. }) => {
            fail(FailureReason::AnswerNotKept, Some(false))
        }
        Outcome::Answered(answer) => {
            Action::Reply(CallReply::Answer { answer, is_replay: true }, None)
        }
        Outcome::Unknown => fail(FailureReason::OutcomeUnknown, None),
    }
}

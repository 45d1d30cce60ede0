use super::{
    Answer, Attempt, Body, ClaimKey, ClaimRecord, Fingerprint, Outcome, Resolved, Standing,
};
use crate::ids::{AttemptId, BootId};
use serde::{Deserialize, Serialize};

/// Times that one call is moved to another endpoint after a proven refusal.
const MAX_RETARGETS: u8 = 3;

/// Decisions for one call that may run at most once, from its claim to its reply.
///
/// Each `on_` method takes the result of the last action and gives the next one. An attempt is
/// dispatched once, and only after the ledger showed it as the key's pending attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallFlow {
    key: ClaimKey,
    fingerprint: Fingerprint,
    kept_until_ms: u64,
    /// Attempt that was submitted by this call and not dispatched yet.
    submitted: Option<AttemptId>,
    /// Attempt that is proven not to have run and still stands in the ledger.
    disproved: Option<AttemptId>,
    /// Whether the last submission gave the key up.
    is_releasing: bool,
    /// Whether no endpoint could be chosen.
    is_without_endpoint: bool,
    /// Attempt of another call that this one already waited for.
    awaited: Option<Attempt>,
    retargets_left: u8,
}

/// What the caller of [`CallFlow`] does next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Choose an endpoint and name an attempt; then [`CallFlow::on_target`].
    Choose,
    /// Append to the ledger and read the key's standing; then [`CallFlow::on_standing`].
    Submit(ClaimRecord),
    /// Read the key's standing; then [`CallFlow::on_standing`].
    Look,
    /// Give the other call time to dispatch; then [`CallFlow::on_waited`].
    Wait,
    /// Hand the attempt to its endpoint daemon, once; then [`CallFlow::on_opened`].
    Dispatch(Attempt),
    /// Wait for the attempt's end; then [`CallFlow::on_ended`] or [`CallFlow::on_lost`].
    Follow(Attempt),
    /// Ask the endpoint daemon about the attempt; then [`CallFlow::on_resolved`].
    Resolve(Attempt),
    /// Answer the caller; append the record too, without making the caller wait.
    Reply(CallReply, Option<ClaimRecord>),
}

/// What the caller gets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallReply {
    /// The service's answer.
    Answer {
        /// The answer.
        answer: Answer,
        /// Whether it is the kept answer of an earlier request with the key.
        is_replay: bool,
    },
    /// No answer.
    Stop {
        /// Why.
        stop: CallStop,
        /// Whether the request did not run; none where that cannot be proven.
        not_run: Option<bool>,
    },
}

/// Why a call ends without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallStop {
    /// The key stands for a request with another content.
    KeyConflict,
    /// Claims cannot be recorded now.
    ClaimsUnavailable,
    /// No endpoint takes work.
    NoEndpoint,
    /// Every endpoint tried refused.
    Refused,
    /// It cannot be known whether the request ran.
    OutcomeUnknown,
    /// The request ran; its answer was too long to keep.
    AnswerNotKept,
}

/// Standing of a key after a submission or a look.
pub type SubmitResult = Result<Standing, SubmitError>;

/// The ledger could not be reached, or its answer was lost. A submitted record may take effect
/// at any later time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SubmitError {
    /// Whether the shard's owner holds every record up to the outage and none is about the key.
    pub is_known_free: bool,
}

/// Result of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OpenResult {
    /// The endpoint daemon has it.
    Accepted,
    /// The endpoint daemon refused it for good, or nothing was sent.
    Refused,
    /// Something was sent and no reply came.
    Lost,
}

/// End of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Ended {
    /// The service answered.
    Answered(Answer),
    /// The service never received it.
    NotRun,
    /// It cannot be known whether the service ran it.
    Unknown,
}

/// What an endpoint daemon said of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResolveResult {
    /// No daemon answered.
    Unreachable,
    /// The daemon's answer and its boot.
    Told(BootId, Resolved<Ended>),
}

impl CallFlow {
    /// Starts the flow of a request; the first action is [`Action::Choose`].
    pub fn new(key: ClaimKey, fingerprint: Fingerprint, kept_until_ms: u64) -> Self {
        Self {
            key,
            fingerprint,
            kept_until_ms,
            submitted: None,
            disproved: None,
            is_releasing: false,
            is_without_endpoint: false,
            awaited: None,
            retargets_left: MAX_RETARGETS,
        }
    }

    /// Changes how often the call may be moved to another endpoint.
    pub fn with_retargets(mut self, retargets: u8) -> Self {
        self.retargets_left = retargets;
        self
    }

    /// Takes the chosen attempt, or none if no endpoint takes work.
    pub fn on_target(&mut self, attempt: Option<Attempt>) -> Action {
        let Some(attempt) = attempt else {
            self.is_without_endpoint = true;
            return self.disproved.map_or(Action::Look, |from| self.release(from));
        };
        self.is_without_endpoint = false;
        self.submitted = Some(attempt.id);
        Action::Submit(self.claim(attempt))
    }

    /// Takes the key's standing, as of after the submission if there was one.
    pub fn on_standing(&mut self, result: SubmitResult) -> Action {
        let submitted = self.submitted.take();
        let was_releasing = std::mem::take(&mut self.is_releasing);
        match result {
            Ok(Standing::Pending(attempt)) if Some(attempt.id) == submitted => {
                self.disproved = None;
                Action::Dispatch(attempt)
            }
            Ok(Standing::Pending(attempt)) => self.on_foreign(attempt),
            Ok(Standing::Free) => self.on_free(was_releasing),
            // The key ran or may run, be it with another content.
            Ok(Standing::Conflict) => stop(CallStop::KeyConflict, None),
            Ok(Standing::Settled(outcome)) => replay(outcome),
            Err(error) => self.on_unavailable(error),
        }
    }

    /// Takes the end of [`Action::Wait`].
    pub fn on_waited(&mut self) -> Action {
        Action::Look
    }

    /// Takes the result of a dispatch.
    pub fn on_opened(&mut self, attempt: Attempt, result: OpenResult) -> Action {
        match result {
            OpenResult::Accepted => Action::Follow(attempt),
            OpenResult::Refused => self.on_disproved(attempt.id),
            OpenResult::Lost => Action::Resolve(attempt),
        }
    }

    /// Takes the end of an attempt.
    pub fn on_ended(&mut self, attempt: &Attempt, ended: Ended) -> Action {
        match ended {
            Ended::Answered(answer) => self.answer(attempt.id, answer),
            Ended::NotRun => self.on_disproved(attempt.id),
            Ended::Unknown => self.unknown(attempt.id),
        }
    }

    /// Takes the loss of the connection that an attempt is followed on.
    pub fn on_lost(&mut self, attempt: Attempt) -> Action {
        Action::Resolve(attempt)
    }

    /// Takes what the endpoint daemon said.
    pub fn on_resolved(&mut self, attempt: Attempt, result: ResolveResult) -> Action {
        match result {
            ResolveResult::Unreachable => stop(CallStop::OutcomeUnknown, None),
            // An earlier boot may have run it.
            ResolveResult::Told(boot, _) if boot != attempt.boot => self.unknown(attempt.id),
            ResolveResult::Told(_, Resolved::Sealed) => self.on_disproved(attempt.id),
            ResolveResult::Told(_, Resolved::Running) => Action::Follow(attempt),
            ResolveResult::Told(_, Resolved::Ended(ended)) => self.on_ended(&attempt, ended),
            ResolveResult::Told(_, Resolved::Forgotten) => self.unknown(attempt.id),
        }
    }

    fn claim(&self, attempt: Attempt) -> ClaimRecord {
        let key = self.key.clone();
        match self.disproved {
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

    fn on_foreign(&mut self, attempt: Attempt) -> Action {
        self.disproved = None;
        if self.awaited.is_none() {
            self.awaited = Some(attempt);
            return Action::Wait;
        }
        Action::Resolve(attempt)
    }

    fn on_free(&mut self, was_releasing: bool) -> Action {
        self.disproved = None;
        if self.is_without_endpoint {
            return stop(CallStop::NoEndpoint, Some(true));
        }
        if was_releasing || self.retargets_left == 0 {
            return stop(CallStop::Refused, Some(true));
        }
        self.retargets_left -= 1;
        Action::Choose
    }

    fn on_unavailable(&mut self, error: SubmitError) -> Action {
        match self.awaited.take() {
            Some(attempt) if self.disproved.is_none() => Action::Resolve(attempt),
            // Another call may have moved the key on meanwhile.
            _ if self.disproved.is_some() => stop(CallStop::ClaimsUnavailable, None),
            _ => stop(CallStop::ClaimsUnavailable, error.is_known_free.then_some(true)),
        }
    }

    fn on_disproved(&mut self, id: AttemptId) -> Action {
        self.disproved = Some(id);
        if self.retargets_left == 0 {
            return self.release(id);
        }
        self.retargets_left -= 1;
        Action::Choose
    }

    fn answer(&self, from: AttemptId, answer: Answer) -> Action {
        let outcome = Outcome::Answered(answer.clone().kept());
        let settle = ClaimRecord::Settle { key: self.key.clone(), from, outcome };
        Action::Reply(CallReply::Answer { answer, is_replay: false }, Some(settle))
    }

    fn unknown(&self, from: AttemptId) -> Action {
        let outcome = Outcome::Unknown;
        let settle = ClaimRecord::Settle { key: self.key.clone(), from, outcome };
        let reply = CallReply::Stop { stop: CallStop::OutcomeUnknown, not_run: None };
        Action::Reply(reply, Some(settle))
    }
}

fn stop(stop: CallStop, not_run: Option<bool>) -> Action {
    Action::Reply(CallReply::Stop { stop, not_run }, None)
}

fn replay(outcome: Outcome) -> Action {
    match outcome {
        Outcome::Answered(Answer { body: Body::Digest { .. }, .. }) => {
            stop(CallStop::AnswerNotKept, Some(false))
        }
        Outcome::Answered(answer) => {
            Action::Reply(CallReply::Answer { answer, is_replay: true }, None)
        }
        Outcome::Unknown => stop(CallStop::OutcomeUnknown, None),
    }
}

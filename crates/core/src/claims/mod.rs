//! At-most-once execution: claims of idempotency keys, attempts, and the state machine of a call.

mod attempt;
mod attempt_log;
mod call_flow;
mod claim_key;
mod claim_record;
mod claim_shard;
mod group_commit;
mod key_age;

pub use self::{
    attempt::{Attempt, AttemptSeries, split_attempt_id},
    attempt_log::{AttemptLimits, AttemptLog, AttemptState, OpenDecision, Resolved},
    call_flow::{
        Action, CallFlow, CallReply, Ended, FailureReason, OpenResult, ResolveResult, SubmitError,
        SubmitResult,
    },
    claim_key::{ClaimKey, Fingerprint, SHARD_COUNT},
    claim_record::{Answer, Body, ClaimRecord, MAX_INLINE_BODY_BYTES, Outcome},
    claim_shard::{ClaimShard, KeyStatus},
    group_commit::{Batch, CommitLimits, GroupCommit},
    key_age::{KeyAge, KeyAgeError, KeyLimits},
};

use cassiagw_core::claims::{ClaimKey, ClaimRecord, Fingerprint, SubmitResult};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// Request for the status of one key, optionally with a record to append first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimCall {
    /// Key whose status is requested.
    pub key: ClaimKey,
    /// Hash of the caller's request; a different hash under the same key is a conflict.
    pub fingerprint: Fingerprint,
    /// Record to append; `None` only reads the status.
    pub record: Option<ClaimRecord>,
}

/// Call queued in a shard's task, with the channel for its result.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub call: ClaimCall,
    pub reply: oneshot::Sender<SubmitResult>,
}

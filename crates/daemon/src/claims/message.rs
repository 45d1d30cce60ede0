use cassiagw_core::claims::{ClaimKey, ClaimRecord, Fingerprint, SubmitResult};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// Question about one key, with a record to append before the answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimCall {
    /// Key that is asked about.
    pub key: ClaimKey,
    /// Content of the request.
    pub fingerprint: Fingerprint,
    /// Record to append; none only reads.
    pub record: Option<ClaimRecord>,
}

/// A call on its way through a shard's task.
#[derive(Debug)]
pub(super) struct Pending {
    pub call: ClaimCall,
    pub reply: oneshot::Sender<SubmitResult>,
}

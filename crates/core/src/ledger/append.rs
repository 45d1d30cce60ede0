use super::{AppendId, Compare, KvCallError, KvRange, LedgerKeys, Op, Record, Txn, TxnReply};
use crate::ids::Revision;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// An append in progress: the transaction to send and the interpretation of its replies.
#[derive(Clone, Debug)]
pub struct Append {
    txn: Txn,
    id: AppendId,
    /// Last revision that the writer has read; 0 if it has read none.
    base: Revision,
    /// Whether the result of an earlier send is unknown.
    may_be_committed: bool,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is committed at this revision.
    Accepted(Revision),
    /// Another record occupies the target revision; this one is provably not in the log.
    Conflict {
        /// First revision that the writer has not read.
        from: Revision,
    },
    /// The record is provably not in the log and never will be.
    NotAccepted,
    /// The record may be in the log or may still be committed.
    Unknown,
}

/// Next step after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendStep {
    /// The append ended with this outcome.
    Done(AppendOutcome),
    /// Resend the same transaction, or stop with [`Append::give_up`].
    Retry,
}

/// Partial view of a [`Record`] that decodes its ID and ignores its entries.
#[derive(Serialize, Deserialize)]
struct RecordIdOnly {
    id: AppendId,
}

impl Append {
    /// Prepares to append `record` at revision `base + 1`.
    pub fn new<E>(keys: &LedgerKeys, base: Revision, record: &Record<E>) -> Self
    where
        E: Serialize + DeserializeOwned,
    {
        let key = keys.log(base + 1);
        // Fails if `base` was compacted. Revision 0 has no record; for it, the absence of a snapshot
        // head shows that nothing was compacted.
        let after_base = match base {
            0 => Compare::Absent(keys.snapshot_head()),
            _ => Compare::Present(keys.log(base)),
        };
        let txn = Txn {
            compare: vec![Compare::Absent(key.clone()), after_base],
            success: vec![Op::put(key.clone(), record.encode())],
            failure: vec![Op::Range(KvRange::one(key))],
        };
        Self { txn, id: record.id, base, may_be_committed: false }
    }

    /// Transaction to send; it is idempotent.
    pub fn txn(&self) -> &Txn {
        &self.txn
    }

    /// Handles the result of sending the transaction.
    pub fn on_reply(&mut self, reply: Result<TxnReply, KvCallError>) -> AppendStep {
        match reply {
            Ok(reply) if reply.succeeded => self.accepted(),
            Ok(reply) => self.on_failed_compare(&reply),
            Err(KvCallError::NotExecuted(_)) => AppendStep::Retry,
            Err(KvCallError::Unknown(_)) => {
                self.may_be_committed = true;
                AppendStep::Retry
            }
        }
    }

    /// Ends an append whose last step was [`AppendStep::Retry`] without another send.
    pub fn give_up(&self) -> AppendOutcome {
        match self.may_be_committed {
            true => AppendOutcome::Unknown,
            false => AppendOutcome::NotAccepted,
        }
    }

    fn accepted(&self) -> AppendStep {
        AppendStep::Done(AppendOutcome::Accepted(self.base + 1))
    }

    fn on_failed_compare(&self, reply: &TxnReply) -> AppendStep {
        let holder = reply
            .first_pair()
            .and_then(|pair| serde_json::from_slice::<RecordIdOnly>(&pair.value).ok())
            .map(|record| record.id);
        let conflict = AppendOutcome::Conflict { from: self.base + 1 };
        match holder {
            Some(id) if id == self.id => self.accepted(),
            Some(_) => AppendStep::Done(conflict),
            // The revision was compacted, so the ID of the record that occupied it is lost.
            None if self.may_be_committed => AppendStep::Done(AppendOutcome::Unknown),
            None => AppendStep::Done(conflict),
        }
    }
}

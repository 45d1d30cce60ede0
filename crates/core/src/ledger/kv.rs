use thiserror::Error;

/// Key range of a read or a deletion.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KvRange {
    /// First key.
    pub key: String,
    /// Exclusive end of the range; `None` selects only `key`.
    pub end: Option<String>,
    /// Maximum number of pairs to return; `None` means no limit.
    pub limit: Option<u64>,
}

impl KvRange {
    /// Range of a single key.
    pub fn one(key: impl Into<String>) -> Self {
        Self { key: key.into(), ..Self::default() }
    }

    /// Range from `key` (inclusive) to `end` (exclusive).
    pub fn between(key: impl Into<String>, end: impl Into<String>) -> Self {
        Self { key: key.into(), end: Some(end.into()), ..Self::default() }
    }

    /// Range of all keys that start with `prefix`, which is non-empty and ends in an ASCII byte.
    pub fn prefix(prefix: &str) -> Self {
        let (head, last) = prefix.split_at(prefix.len() - 1);
        let after = char::from(last.as_bytes()[0] + 1);
        Self::between(prefix, format!("{head}{after}"))
    }

    /// Limits the number of returned pairs.
    pub fn with_limit(mut self, limit: u64) -> Self {
        self.limit = Some(limit);
        self
    }
}

/// Precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key exists.
    Present(String),
    /// The key was last modified at this revision of the key-value service.
    ModifiedAt(String, u64),
}

/// Operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a key, optionally attached to a lease.
    Put {
        /// Key to write.
        key: String,
        /// New value; replaces any earlier one.
        value: Vec<u8>,
        /// Lease whose expiry or revocation deletes the key; `None` for a permanent key.
        lease: Option<i64>,
    },
    /// Reads the pairs of a range.
    Range(KvRange),
    /// Deletes the keys of a range.
    Delete(KvRange),
}

impl Op {
    /// Write of a key without a lease.
    pub fn put(key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self::Put { key: key.into(), value: value.into(), lease: None }
    }
}

/// Atomic transaction: preconditions select which of two operation lists is executed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Preconditions, all of which must hold for `success` to be executed.
    pub compare: Vec<Compare>,
    /// Operations executed if all preconditions hold.
    pub success: Vec<Op>,
    /// Operations executed if any precondition fails.
    pub failure: Vec<Op>,
}

/// A key with its value and last modification.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KvPair {
    /// Full key, including its prefix.
    pub key: String,
    /// Raw bytes stored under the key.
    pub value: Vec<u8>,
    /// Revision of the key-value service at which the key was last modified.
    pub mod_revision: u64,
}

/// Result of a range read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeReply {
    /// Revision of the key-value service at the time of the read.
    pub revision: u64,
    /// Pairs in key order, up to the limit of the range.
    pub pairs: Vec<KvPair>,
    /// Number of pairs in the whole range, ignoring the limit.
    pub count: u64,
}

/// Result of one operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpReply {
    /// Result of a read.
    Range(RangeReply),
    /// Completion of a write or a deletion.
    Done,
}

/// Result of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether all preconditions held.
    pub succeeded: bool,
    /// Revision of the key-value service after the transaction.
    pub revision: u64,
    /// Results of the executed operations, in order.
    pub replies: Vec<OpReply>,
}

impl TxnReply {
    /// First pair of the first read among the executed operations that returned any.
    pub fn first_pair(&self) -> Option<&KvPair> {
        self.replies.iter().find_map(|reply| match reply {
            OpReply::Range(range) => range.pairs.first(),
            OpReply::Done => None,
        })
    }
}

/// Error of a call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KvCallError {
    /// The call did not reach the service, or the service rejected it without any effect.
    #[error("call to the key-value service was not executed: {0}")]
    NotExecuted(String),
    /// The call may have taken effect or may still do so.
    #[error("outcome of a call to the key-value service is unknown: {0}")]
    Unknown(String),
}

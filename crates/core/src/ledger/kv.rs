use thiserror::Error;

/// Keys that a read or a deletion names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeOf {
    /// First key.
    pub key: String,
    /// First key past the range; none means the one key.
    pub end: Option<String>,
    /// Most pairs to give; none means all.
    pub limit: Option<u64>,
}

impl RangeOf {
    /// Names one key.
    pub fn one(key: impl Into<String>) -> Self {
        Self { key: key.into(), ..Self::default() }
    }

    /// Names the keys from `key` up to but not including `end`.
    pub fn between(key: impl Into<String>, end: impl Into<String>) -> Self {
        Self { key: key.into(), end: Some(end.into()), ..Self::default() }
    }

    /// Names every key that starts with an ASCII `prefix`.
    pub fn prefix(prefix: &str) -> Self {
        let (head, last) = prefix.split_at(prefix.len() - 1);
        let after = char::from(last.as_bytes()[0] + 1);
        Self::between(prefix, format!("{head}{after}"))
    }

    /// Bounds the number of pairs.
    pub fn with_limit(mut self, limit: u64) -> Self {
        self.limit = Some(limit);
        self
    }
}

/// Condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key exists.
    Present(String),
    /// The key's last change has this revision of the service.
    Changed(String, u64),
}

/// Operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a key, bound to a lease if one is named.
    Put {
        /// Key.
        key: String,
        /// Value.
        value: Vec<u8>,
        /// Lease whose end removes the key.
        lease: Option<i64>,
    },
    /// Reads keys.
    Range(RangeOf),
    /// Deletes keys.
    Delete(RangeOf),
}

impl Op {
    /// Writes a key without a lease.
    pub fn put(key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self::Put { key: key.into(), value: value.into(), lease: None }
    }
}

/// Transaction: one of two lists of operations, chosen by conditions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations where they hold.
    pub success: Vec<Op>,
    /// Operations where one fails.
    pub failure: Vec<Op>,
}

/// A key with its value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KvPair {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the service at the last change.
    pub changed: u64,
}

/// Reply to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeReply {
    /// Revision of the service at the read.
    pub revision: u64,
    /// Pairs, in order.
    pub pairs: Vec<KvPair>,
    /// Pairs in the whole range, whatever the limit.
    pub count: u64,
}

/// Reply to one operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpReply {
    /// A read.
    Range(RangeReply),
    /// A write or a deletion.
    Done,
}

/// Reply to a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether the conditions held.
    pub succeeded: bool,
    /// Revision of the service after it.
    pub revision: u64,
    /// Replies to the chosen operations, in their order.
    pub replies: Vec<OpReply>,
}

impl TxnReply {
    /// Gives the first pair that a read among the operations found.
    pub fn first_pair(&self) -> Option<&KvPair> {
        self.replies.iter().find_map(|reply| match reply {
            OpReply::Range(range) => range.pairs.first(),
            OpReply::Done => None,
        })
    }
}

/// Failure of a call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallFailure {
    /// Nothing reached the service, or it refused before doing anything.
    #[error("the key-value service did not take the call: {0}")]
    NotDone(String),
    /// The call may have taken effect, now or later.
    #[error("outcome of a call to the key-value service is unknown: {0}")]
    Unknown(String),
}

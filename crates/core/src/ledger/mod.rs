//! A log in the platform's key-value service, appended by compare-and-swap.
//!
//! Each append creates the key of the next revision on condition that the key does not exist and
//! that its predecessor does, so that two writers cannot both take a revision and a writer that
//! lags behind a compaction cannot fill a hole. A lost answer is settled by sending the same
//! append again: the service then shows whose record holds the revision.

mod append;
mod keys;
mod kv;
mod log_page;
mod record;
mod snapshot;

pub use self::{
    append::{Append, AppendOutcome, AppendStep},
    keys::LedgerKeys,
    kv::{CallFailure, Compare, KvPair, Op, OpReply, RangeOf, RangeReply, Txn, TxnReply},
    log_page::{LogPage, RawRecord, read_log_page},
    record::{AppendId, LedgerError, Record},
    snapshot::{KEPT_LOG_ENTRIES, PART_BYTES, SnapshotHead, SnapshotPlan, SnapshotSet},
};

//! A log in the platform's key-value service, appended by compare-and-swap.
//!
//! Each append creates the key of the next revision on condition that this key does not exist and
//! its predecessor does. Two writers therefore cannot both write the same revision, and a writer
//! that lags behind a compaction cannot write into the compacted part. If the response to an append
//! is lost, the same append is sent again: the reply then identifies the record at that revision.

mod append;
mod keys;
mod kv;
mod log_page;
mod record;
mod snapshot;

pub use self::{
    append::{Append, AppendOutcome, AppendStep},
    keys::LedgerKeys,
    kv::{Compare, KvCallError, KvPair, KvRange, Op, OpReply, RangeReply, Txn, TxnReply},
    log_page::{LogPage, RawRecord, parse_log_page},
    record::{AppendId, LedgerError, Record},
    snapshot::{PART_BYTES, RETAINED_LOG_RECORDS, Snapshot, SnapshotHead, SnapshotPlan},
};

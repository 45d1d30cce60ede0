use super::{LedgerError, LedgerKeys, RangeReply};
use crate::ids::Revision;
use std::sync::Arc;

/// An undecoded record, as stored in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    /// Revision of the record in the ledger.
    pub revision: Revision,
    /// Encoded [`Record`](super::Record).
    pub value: Arc<[u8]>,
}

/// Consecutive records of a log, from one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// Records from the requested revision on, without a gap.
    pub records: Vec<RawRecord>,
    /// Whether the log has further records after these.
    pub more: bool,
    /// Revision of the key-value service at the time of the read.
    pub service_revision: u64,
}

/// Validates the result of reading the log from revision `next` on.
///
/// # Errors
/// [`LedgerError::Compacted`] if the log starts after `next` or has a gap.
pub fn parse_log_page(
    keys: &LedgerKeys,
    next: Revision,
    reply: RangeReply,
) -> Result<LogPage, LedgerError> {
    let more = reply.count > reply.pairs.len() as u64;
    let records = reply
        .pairs
        .into_iter()
        .zip(next..)
        .map(|(pair, wanted)| match keys.revision_of(&pair.key) {
            Some(revision) if revision == wanted => {
                Ok(RawRecord { revision, value: pair.value.into() })
            }
            _ => Err(LedgerError::Compacted { wanted }),
        })
        .collect::<Result<_, _>>()?;
    Ok(LogPage { records, more, service_revision: reply.revision })
}

use super::{LedgerError, LedgerKeys, RangeReply};
use crate::ids::Revision;
use std::sync::Arc;

/// A record as the service keeps it, not decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    /// Revision.
    pub revision: Revision,
    /// Value of its key.
    pub value: Arc<[u8]>,
}

/// Part of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// Records without a gap, from the wanted revision on.
    pub records: Vec<RawRecord>,
    /// Whether the log goes on after them.
    pub more: bool,
    /// Revision of the service at the read.
    pub service_revision: u64,
}

/// Checks the reply to a read of the log from revision `next` on.
///
/// # Errors
/// [`LedgerError::Compacted`] where the log starts later or has a gap.
pub fn read_log_page(
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

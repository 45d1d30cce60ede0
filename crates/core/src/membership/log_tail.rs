use crate::{ids::Revision, ledger::RawRecord};
use std::collections::VecDeque;

/// Maximum number of records kept for peers that are behind.
const MAX_RECORDS: usize = 1_024;
/// Maximum size of the records kept for peers that are behind, in bytes.
const MAX_BYTES: usize = 512 * 1024;
/// Record bytes after which no further record is added to a message.
const MESSAGE_BYTES: usize = 64 * 1024;

/// The newest records of the settings log, contiguous by revision.
#[derive(Clone, Debug, Default)]
pub struct LogTail {
    records: VecDeque<RawRecord>,
    bytes: usize,
}

impl LogTail {
    /// Appends the next record and drops the oldest ones above the limits.
    pub fn push(&mut self, record: RawRecord) {
        self.bytes += record.value.len();
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || (self.bytes > MAX_BYTES && self.records.len() > 1)
        {
            let dropped = self.records.pop_front().map_or(0, |record| record.value.len());
            self.bytes -= dropped;
        }
    }

    /// Removes all records; called when the settings are replaced as a whole.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the records after a revision that fit in one message; `None` if they are no longer
    /// kept.
    pub fn records_after(&self, revision: Revision) -> Option<Vec<RawRecord>> {
        let first = self.records.front()?.revision;
        let skipped = (revision + 1).checked_sub(first)? as usize;
        let mut bytes = 0;
        let fits = |record: &&RawRecord| {
            let has_room = bytes < MESSAGE_BYTES;
            bytes += record.value.len();
            has_room
        };
        Some(self.records.iter().skip(skipped).take_while(fits).cloned().collect())
    }
}

use crate::{ids::Revision, ledger::RawRecord};
use std::collections::VecDeque;

/// Records kept for peers that are behind.
const MAX_RECORDS: usize = 1_024;
/// Bytes kept for peers that are behind.
const MAX_BYTES: usize = 512 * 1024;
/// Bytes of records in one message, unless the first one is larger.
const MESSAGE_BYTES: usize = 64 * 1024;

/// The newest records of the settings log, without a gap.
#[derive(Clone, Debug, Default)]
pub struct LogTail {
    records: VecDeque<RawRecord>,
    bytes: usize,
}

impl LogTail {
    /// Adds the next record and drops old ones above the limits.
    pub fn push(&mut self, record: RawRecord) {
        self.bytes += record.value.len();
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || (self.bytes > MAX_BYTES && self.records.len() > 1)
        {
            let dropped = self.records.pop_front().map_or(0, |record| record.value.len());
            self.bytes -= dropped;
        }
    }

    /// Forgets every record, when the settings were replaced as a whole.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Records after a revision as far as one message holds; none where they are not kept.
    pub fn after(&self, revision: Revision) -> Option<Vec<RawRecord>> {
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

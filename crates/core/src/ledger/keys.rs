use super::{AppendId, KvPair, KvRange, RawRecord};
use crate::ids::Revision;

/// Layout of the keys of one ledger under a common prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerKeys {
    prefix: String,
}

impl LedgerKeys {
    /// Addresses the ledger under `prefix`, which has no trailing slash.
    pub fn new(prefix: impl Into<String>) -> Self {
        Self { prefix: prefix.into() }
    }

    /// Key of the record at `revision`; zero-padded so that keys sort by revision.
    pub fn log(&self, revision: Revision) -> String {
        format!("{}/log/{revision:020}", self.prefix)
    }

    /// Range of the records at and after `revision`.
    pub fn log_from(&self, revision: Revision) -> KvRange {
        // '0' follows '/' in ASCII, so this end includes all keys that start with `log/`.
        KvRange::between(self.log(revision), format!("{}/log0", self.prefix))
    }

    /// Range of the records before `revision`.
    pub fn log_before(&self, revision: Revision) -> KvRange {
        KvRange::between(self.log(0), self.log(revision))
    }

    /// Revision encoded in a log key; `None` if `key` is not a log key of this ledger.
    pub fn revision_of(&self, key: &str) -> Option<Revision> {
        key.strip_prefix(&self.prefix)?.strip_prefix("/log/")?.parse().ok()
    }

    /// Record stored in a pair; `None` if the pair is not part of this log.
    pub fn record_of(&self, pair: KvPair) -> Option<RawRecord> {
        let revision = self.revision_of(&pair.key)?;
        Some(RawRecord { revision, value: pair.value.into() })
    }

    /// Key of the head that refers to the newest snapshot.
    pub fn snapshot_head(&self) -> String {
        format!("{}/snap/head", self.prefix)
    }

    /// Key of one part of a snapshot; the ID keeps concurrently written snapshots separate.
    pub fn snapshot_part(&self, revision: Revision, id: AppendId, part: u32) -> String {
        format!("{}/snap/part/{revision:020}-{id}/{part:04}", self.prefix)
    }

    /// Range of all parts of one snapshot.
    pub fn snapshot_parts(&self, revision: Revision, id: AppendId) -> KvRange {
        KvRange::prefix(&format!("{}/snap/part/{revision:020}-{id}/", self.prefix))
    }

    /// Range of the parts of all snapshots before `revision`.
    pub fn snapshots_before(&self, revision: Revision) -> KvRange {
        KvRange::between(
            format!("{}/snap/part/", self.prefix),
            format!("{}/snap/part/{revision:020}", self.prefix),
        )
    }
}

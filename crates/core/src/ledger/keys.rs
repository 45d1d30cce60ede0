use super::{AppendId, KvPair, RangeOf, RawRecord};
use crate::ids::Revision;

/// Keys of one ledger below a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerKeys {
    prefix: String,
}

impl LedgerKeys {
    /// Names the ledger below `prefix`, which has no slash at its end.
    pub fn new(prefix: impl Into<String>) -> Self {
        Self { prefix: prefix.into() }
    }

    /// Key of the record at a revision.
    pub fn log(&self, revision: Revision) -> String {
        format!("{}/log/{revision:020}", self.prefix)
    }

    /// Records from a revision on.
    pub fn log_from(&self, revision: Revision) -> RangeOf {
        RangeOf::between(self.log(revision), format!("{}/log0", self.prefix))
    }

    /// Records before a revision.
    pub fn log_before(&self, revision: Revision) -> RangeOf {
        RangeOf::between(self.log(0), self.log(revision))
    }

    /// Revision that a record's key names.
    pub fn revision_of(&self, key: &str) -> Option<Revision> {
        key.strip_prefix(&self.prefix)?.strip_prefix("/log/")?.parse().ok()
    }

    /// Record that a pair holds; none where the pair is not of the log.
    pub fn record_of(&self, pair: KvPair) -> Option<RawRecord> {
        let revision = self.revision_of(&pair.key)?;
        Some(RawRecord { revision, value: pair.value.into() })
    }

    /// Key of the newest snapshot's head.
    pub fn snapshot_head(&self) -> String {
        format!("{}/snap/head", self.prefix)
    }

    /// Key of one part of a snapshot; the writer's id keeps racing snapshots apart.
    pub fn snapshot_part(&self, revision: Revision, id: AppendId, part: u32) -> String {
        format!("{}/snap/part/{revision:020}-{id}/{part:04}", self.prefix)
    }

    /// Every part of one snapshot.
    pub fn snapshot_parts(&self, revision: Revision, id: AppendId) -> RangeOf {
        RangeOf::prefix(&format!("{}/snap/part/{revision:020}-{id}/", self.prefix))
    }

    /// Parts of the snapshots before a revision.
    pub fn snapshots_before(&self, revision: Revision) -> RangeOf {
        RangeOf::between(
            format!("{}/snap/part/", self.prefix),
            format!("{}/snap/part/{revision:020}", self.prefix),
        )
    }
}

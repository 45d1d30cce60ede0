use super::{AppendId, Compare, KvPair, KvRange, LedgerError, LedgerKeys, Op, Txn};
use crate::ids::Revision;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// Maximum size of a snapshot part, in bytes: well below the value limit of the key-value service.
pub const PART_BYTES: usize = 512 * 1024;
/// Number of log records before the snapshot's revision that a compaction retains; a reader that
/// lags by fewer can continue from the log without loading the snapshot.
pub const RETAINED_LOG_RECORDS: u64 = 256;

/// Head of the newest snapshot; locates its parts and allows their content to be verified.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHead {
    /// Ledger revision up to which the snapshot includes all records.
    pub revision: Revision,
    /// Random ID of the snapshot, contained in the keys of its parts.
    pub id: AppendId,
    /// Number of parts.
    pub parts: u32,
    /// blake3 hash of the content of all parts.
    #[serde_as(as = "Hex")]
    pub hash: [u8; 32],
}

/// A verified snapshot, read from the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Ledger revision up to which the snapshot includes all records.
    pub revision: Revision,
    /// Concatenated content of all parts.
    pub content: Vec<u8>,
}

impl Snapshot {
    /// Assembles a snapshot from its head and parts.
    ///
    /// # Errors
    /// [`LedgerError::BadSnapshot`] if parts are missing or the hash does not match.
    pub fn from_parts(head: &SnapshotHead, parts: &[KvPair]) -> Result<Self, LedgerError> {
        let content = parts.iter().flat_map(|pair| pair.value.iter().copied()).collect::<Vec<_>>();
        let is_complete =
            parts.len() == head.parts as usize && *blake3::hash(&content).as_bytes() == head.hash;
        match is_complete {
            true => Ok(Self { revision: head.revision, content }),
            false => Err(LedgerError::BadSnapshot { revision: head.revision }),
        }
    }
}

/// Transactions that write a new snapshot, in execution order: parts, head, compaction.
#[derive(Clone, Debug)]
pub struct SnapshotPlan {
    /// One transaction per part.
    pub parts: Vec<Txn>,
    /// Compare-and-swap of the head; if it fails, another writer's snapshot has replaced the head
    /// and this snapshot's parts are to be deleted.
    pub head: Txn,
    /// Deletion of the log records and snapshots superseded by the new head; only valid after the
    /// swap has succeeded.
    pub compaction: Txn,
    /// Deletion of this snapshot's parts; only valid after the swap has failed.
    pub rollback: Txn,
}

impl SnapshotPlan {
    /// Plans a snapshot of `content` at ledger revision `revision`.
    ///
    /// `head_mod_revision` is the key-value service's revision at which the head to be replaced was
    /// last modified; `None` means that no head may exist.
    pub fn new(
        keys: &LedgerKeys,
        id: AppendId,
        revision: Revision,
        content: &[u8],
        head_mod_revision: Option<u64>,
    ) -> Self {
        let chunks = content.chunks(PART_BYTES);
        let hash = *blake3::hash(content).as_bytes();
        let head = SnapshotHead { revision, id, parts: chunks.len() as u32, hash };
        let parts = chunks
            .zip(0..)
            .map(|(chunk, part)| Op::put(keys.snapshot_part(revision, id, part), chunk))
            .map(|op| Txn { success: vec![op], ..Txn::default() })
            .collect();
        Self {
            parts,
            head: head_swap(keys, &head, head_mod_revision),
            compaction: deletion([
                keys.log_before(revision.saturating_sub(RETAINED_LOG_RECORDS)),
                keys.snapshots_before(revision),
            ]),
            rollback: deletion([keys.snapshot_parts(revision, id)]),
        }
    }
}

fn head_swap(keys: &LedgerKeys, head: &SnapshotHead, head_mod_revision: Option<u64>) -> Txn {
    let key = keys.snapshot_head();
    let unchanged = match head_mod_revision {
        Some(mod_revision) => Compare::ModifiedAt(key.clone(), mod_revision),
        None => Compare::Absent(key.clone()),
    };
    let value = serde_json::to_vec(head).expect("a head is plain data");
    Txn {
        compare: vec![unchanged],
        success: vec![Op::put(key.clone(), value)],
        failure: vec![Op::Range(KvRange::one(key))],
    }
}

fn deletion(ranges: impl IntoIterator<Item = KvRange>) -> Txn {
    Txn { success: ranges.into_iter().map(Op::Delete).collect(), ..Txn::default() }
}

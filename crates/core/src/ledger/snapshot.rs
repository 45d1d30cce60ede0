use super::{AppendId, Compare, KvPair, LedgerError, LedgerKeys, Op, RangeOf, Txn};
use crate::ids::Revision;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// Largest part of a snapshot, in bytes: well below the service's limit for a value.
pub const PART_BYTES: usize = 512 * 1024;
/// Records that a compaction leaves in the log before the snapshot's revision.
pub const KEPT_LOG_ENTRIES: u64 = 256;

/// Head of the newest snapshot: where its parts are and what they hold.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHead {
    /// Revision that the snapshot reflects.
    pub revision: Revision,
    /// Name of the append that wrote it.
    pub id: AppendId,
    /// Number of its parts.
    pub parts: u32,
    /// blake3 hash of its content.
    #[serde_as(as = "Hex")]
    pub hash: [u8; 32],
}

/// A snapshot read from the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotSet {
    /// Revision that it reflects.
    pub revision: Revision,
    /// Content.
    pub content: Vec<u8>,
}

impl SnapshotSet {
    /// Puts a snapshot together from its head and parts.
    ///
    /// # Errors
    /// [`LedgerError::BadSnapshot`] where parts are missing or differ.
    pub fn from_parts(head: &SnapshotHead, parts: &[KvPair]) -> Result<Self, LedgerError> {
        let content = parts.iter().flat_map(|pair| pair.value.iter().copied()).collect::<Vec<_>>();
        let is_whole =
            parts.len() == head.parts as usize && *blake3::hash(&content).as_bytes() == head.hash;
        match is_whole {
            true => Ok(Self { revision: head.revision, content }),
            false => Err(LedgerError::BadSnapshot { revision: head.revision }),
        }
    }
}

/// Writes of a new snapshot, in their order: parts, head, compaction.
#[derive(Clone, Debug)]
pub struct SnapshotPlan {
    /// One transaction for each part.
    pub parts: Vec<Txn>,
    /// Swap of the head; where it fails another snapshot won and the parts are to be deleted.
    pub head: Txn,
    /// Deletion of the log and the snapshots that the new head replaces; only after the swap.
    pub compaction: Txn,
    /// Deletion of this snapshot's parts; only where the swap failed.
    pub withdrawal: Txn,
}

impl SnapshotPlan {
    /// Plans a snapshot with `content` at `revision`, to replace the head last changed at the
    /// service's revision `seen`, or the absence of a head.
    pub fn new(
        keys: &LedgerKeys,
        id: AppendId,
        revision: Revision,
        content: &[u8],
        seen: Option<u64>,
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
            head: head_swap(keys, &head, seen),
            compaction: deletion([
                keys.log_before(revision.saturating_sub(KEPT_LOG_ENTRIES)),
                keys.snapshots_before(revision),
            ]),
            withdrawal: deletion([keys.snapshot_parts(revision, id)]),
        }
    }
}

fn head_swap(keys: &LedgerKeys, head: &SnapshotHead, seen: Option<u64>) -> Txn {
    let key = keys.snapshot_head();
    let unchanged = match seen {
        Some(changed) => Compare::Changed(key.clone(), changed),
        None => Compare::Absent(key.clone()),
    };
    let value = serde_json::to_vec(head).expect("a head is plain data");
    Txn {
        compare: vec![unchanged],
        success: vec![Op::put(key.clone(), value)],
        failure: vec![Op::Range(RangeOf::one(key))],
    }
}

fn deletion(ranges: impl IntoIterator<Item = RangeOf>) -> Txn {
    Txn { success: ranges.into_iter().map(Op::Delete).collect(), ..Txn::default() }
}

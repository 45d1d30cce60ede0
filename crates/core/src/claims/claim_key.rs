use crate::ids::{IdempotencyKey, WorkspaceId};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// Number of shards that claims are partitioned into; each shard has its own ledger.
pub const SHARD_COUNT: u32 = 16;

/// An idempotency key scoped to its workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Workspace that the caller belongs to.
    #[serde(rename = "w")]
    pub workspace: WorkspaceId,
    /// Idempotency key supplied by the caller.
    #[serde(rename = "k")]
    pub key: IdempotencyKey,
}

impl ClaimKey {
    /// Scopes `key` to `workspace`.
    pub fn new(workspace: impl Into<WorkspaceId>, key: impl Into<IdempotencyKey>) -> Self {
        Self { workspace: workspace.into(), key: key.into() }
    }

    /// Shard that stores the key's claim, in `0..SHARD_COUNT`.
    pub fn shard(&self) -> u32 {
        let mut hasher = blake3::Hasher::new();
        hash_part(&mut hasher, self.workspace.as_bytes());
        hash_part(&mut hasher, self.key.as_bytes());
        let [a, b, c, d, ..] = *hasher.finalize().as_bytes();
        u32::from_le_bytes([a, b, c, d]) % SHARD_COUNT
    }
}

/// Truncated blake3 hash of the request content; requests with equal hashes are treated as
/// identical.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(#[serde_as(as = "Hex")] pub [u8; 16]);

impl Fingerprint {
    /// Hashes the parts of a request, each prefixed with its length so that boundaries matter.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        parts.into_iter().for_each(|part| hash_part(&mut hasher, part));
        let mut short = [0; 16];
        hasher.finalize_xof().fill(&mut short);
        Self(short)
    }
}

fn hash_part(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

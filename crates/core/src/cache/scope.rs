use crate::ids::{AdapterId, ModelId, VersionId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// Context of the key derivation; a change of the key form needs a new one.
const SCOPE_CONTEXT: &str = "cassiagw cache scope v1";

/// Secret state from which the key of the next piece of a prompt is derived.
pub type ChainKey = [u8; 32];

/// What two prompts must share before any of their cache may be shared.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CacheScope {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Model that computes the prompt.
    pub model: ModelId,
    /// Adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Weight version.
    pub version: VersionId,
}

impl CacheScope {
    /// Scope of the plain model in one weight version.
    pub fn new(workspace: WorkspaceId, model: ModelId, version: VersionId) -> Self {
        Self { workspace, model, adapter: None, version }
    }

    /// The same scope under an adapter.
    pub fn with_adapter(mut self, adapter: Option<AdapterId>) -> Self {
        self.adapter = adapter;
        self
    }

    /// Start of the chain of piece keys; fields are length-prefixed, so none can pose as another.
    pub fn chain_key(&self) -> ChainKey {
        let mut hasher = blake3::Hasher::new_derive_key(SCOPE_CONTEXT);
        let mut update = |field: &str| {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        };
        update(&self.workspace);
        update(&self.model);
        update(&self.version);
        self.adapter.iter().for_each(|adapter| update(adapter));
        *hasher.finalize().as_bytes()
    }
}

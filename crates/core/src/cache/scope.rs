use crate::ids::{AdapterId, ModelId, VersionId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// Key derivation context of blake3; must change whenever the derivation of piece keys changes.
const SCOPE_CONTEXT: &str = "cassiagw cache scope v1";

/// Secret chaining value from which the key of the next piece of a prompt is derived.
pub type ChainKey = [u8; 32];

/// Isolation scope of the prefix cache: prompts share KV data only if all fields are equal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CacheScope {
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// Model that the KV data was computed with.
    pub model: ModelId,
    /// Adapter applied to the model; `None` for the base model.
    pub adapter: Option<AdapterId>,
    /// Weight version of the model.
    pub version: VersionId,
}

impl CacheScope {
    /// Creates the scope of the base model, without an adapter.
    pub fn new(workspace: WorkspaceId, model: ModelId, version: VersionId) -> Self {
        Self { workspace, model, adapter: None, version }
    }

    /// Sets the adapter; `None` selects the base model.
    pub fn with_adapter(mut self, adapter: Option<AdapterId>) -> Self {
        self.adapter = adapter;
        self
    }

    /// Derives the initial chaining value of the piece keys.
    ///
    /// Fields are hashed with a length prefix, so different scopes never give the same input.
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

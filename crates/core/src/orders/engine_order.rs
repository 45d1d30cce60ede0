use crate::ids::{AdapterId, BootId, ModelId, VersionId};
use serde::{Deserialize, Serialize};

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EngineOrder {
    /// Fencing number of the sender; a later writer has a higher one.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// What an order asks for; repeating it is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads a weight version.
    LoadVersion {
        /// Model.
        model: ModelId,
        /// Version.
        version: VersionId,
    },
    /// Unloads a weight version; running requests keep it.
    UnloadVersion {
        /// Model.
        model: ModelId,
        /// Version.
        version: VersionId,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// Adapter.
        adapter: AdapterId,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// Adapter.
        adapter: AdapterId,
    },
    /// Changes the role.
    SetRole {
        /// Role.
        role: String,
    },
}

impl OrderAction {
    /// Says whether the engine has to read weights for it.
    pub fn loads_weights(&self) -> bool {
        matches!(self, Self::LoadVersion { .. })
    }
}

/// What an engine has loaded and the fencing number of the last order that it took.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct EngineState {
    /// Boot of the engine; a boot forgets all orders.
    pub boot: BootId,
    /// Fencing number of the last order.
    pub fence: u64,
    /// Model.
    pub model: ModelId,
    /// Versions loaded.
    pub versions: Vec<VersionId>,
    /// Adapters loaded.
    pub adapters: Vec<AdapterId>,
    /// Role.
    pub role: String,
}

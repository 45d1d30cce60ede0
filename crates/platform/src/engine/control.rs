use cassiagw_core::ids::{AdapterId, BootId, ModelId, VersionId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Load that an engine reports, some time late.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct EngineLoad {
    /// Boot of the engine.
    pub boot: BootId,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Versions loaded, by model.
    #[serde(default)]
    pub versions: BTreeMap<ModelId, Vec<VersionId>>,
    /// Adapters loaded.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Pieces in the cache.
    #[serde(default)]
    pub pieces: u64,
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EngineOrder {
    /// Fencing number of the sender.
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

/// What an engine has loaded and the fencing number of the last order that it took.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct OrderState {
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

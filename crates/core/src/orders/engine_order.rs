use crate::ids::{AdapterId, BootId, ModelId, VersionId};
use serde::{Deserialize, Serialize};

/// Order sent to an engine, as serialized on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EngineOrder {
    /// Fencing token of the sender; increases with each new writer.
    pub fence: u64,
    /// Requested action; its fields are inlined next to `fence`.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Action requested by an order; all actions are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads a weight version.
    LoadVersion {
        /// Model that the version belongs to.
        model: ModelId,
        /// Version to load.
        version: VersionId,
    },
    /// Unloads a weight version; requests that are already running keep it until they end.
    UnloadVersion {
        /// Model that the version belongs to.
        model: ModelId,
        /// Version to unload.
        version: VersionId,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// Adapter to load.
        adapter: AdapterId,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// Adapter to unload.
        adapter: AdapterId,
    },
    /// Changes the role of the engine.
    SetRole {
        /// New role.
        role: String,
    },
}

impl OrderAction {
    /// Returns whether the action makes the engine read weights, which requires a load slot.
    pub fn loads_weights(&self) -> bool {
        matches!(self, Self::LoadVersion { .. })
    }
}

/// State reported by an engine: what it has loaded and the fencing token of its last order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct EngineState {
    /// Boot number of the engine; a restart discards the effect of all orders.
    pub boot: BootId,
    /// Fencing token of the last accepted order.
    pub fence: u64,
    /// Model that the engine serves.
    pub model: ModelId,
    /// Loaded weight versions.
    pub versions: Vec<VersionId>,
    /// Loaded adapters.
    pub adapters: Vec<AdapterId>,
    /// Current role of the engine.
    pub role: String,
}

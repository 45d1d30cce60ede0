use cassiagw_core::{
    ids::{AdapterId, VersionId},
    orders::EngineState,
};
use serde::Serialize;

/// State of the orders to an engine, written to state dumps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrderDump {
    /// Fencing token of the writer's lease; `None` while the lease is not held.
    pub fence: Option<u64>,
    /// Whether a slot for loading weights is held.
    pub has_slot: bool,
    /// Weight versions that the settings require, in order of priority.
    pub wanted_versions: Vec<VersionId>,
    /// Adapters that the settings require, in order of priority.
    pub wanted_adapters: Vec<AdapterId>,
    /// Weight versions loaded by the engine when its state was last read.
    pub versions: Vec<VersionId>,
    /// Adapters loaded by the engine when its state was last read.
    pub adapters: Vec<AdapterId>,
    /// Last order and its outcome; `None` if none was sent.
    pub last_order: Option<String>,
}

impl OrderDump {
    /// Sets the loaded versions and adapters; with `None`, those read before stay.
    pub fn with_engine_state(mut self, state: Option<&EngineState>) -> Self {
        if let Some(state) = state {
            self.versions.clone_from(&state.versions);
            self.adapters.clone_from(&state.adapters);
        }
        self
    }
}

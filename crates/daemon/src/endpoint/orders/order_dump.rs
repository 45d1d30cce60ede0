use cassiagw_core::{
    ids::{AdapterId, VersionId},
    orders::EngineState,
};
use serde::Serialize;

/// State of the orders to an engine, for a dump.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrderDump {
    /// Fencing number of the writer's lease, while it is held.
    pub fence: Option<u64>,
    /// Whether a place for loading weights is held.
    pub has_slot: bool,
    /// Versions that the settings want, the most needed first.
    pub wanted_versions: Vec<VersionId>,
    /// Adapters that the settings want, the most needed first.
    pub wanted_adapters: Vec<AdapterId>,
    /// Versions loaded, as last read.
    pub versions: Vec<VersionId>,
    /// Adapters loaded, as last read.
    pub adapters: Vec<AdapterId>,
    /// Last order and what became of it.
    pub last_order: Option<String>,
}

impl OrderDump {
    /// Takes the state of the engine; an unknown one leaves what was read before.
    pub fn with_engine_state(mut self, state: Option<&EngineState>) -> Self {
        if let Some(state) = state {
            self.versions.clone_from(&state.versions);
            self.adapters.clone_from(&state.adapters);
        }
        self
    }
}

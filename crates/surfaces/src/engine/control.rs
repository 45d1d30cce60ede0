use cassiagw_core::ids::{AdapterId, BootId, ModelId, VersionId};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Load that an engine reports, with a delay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct EngineLoad {
    /// Boot of the engine.
    pub boot: BootId,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Loaded weight versions by model.
    #[serde(default)]
    pub versions: BTreeMap<ModelId, Vec<VersionId>>,
    /// Loaded adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Number of prompt pieces in the cache.
    #[serde(default)]
    pub pieces: u64,
}

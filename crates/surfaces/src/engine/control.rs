use cassiagw_core::ids::{AdapterId, BootId, ModelId, VersionId};
use serde::Deserialize;
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

use serde_json::Value;
use std::path::PathBuf;

/// Specification of a deployment.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Directory that contains the executables.
    pub programs: PathBuf,
    /// Name of the region that contains all availability zones.
    pub region: String,
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// Number of entries, distributed round robin over the zones.
    pub entries: usize,
    /// Engines, distributed round robin over the zones.
    pub engines: Vec<EngineSpec>,
    /// Service name of each plain service replica, distributed round robin over the zones.
    pub services: Vec<String>,
    /// Store hosts, distributed round robin over the zones.
    pub stores: Vec<StoreSpec>,
    /// Names of the workspaces; each has one team of the same name with one caller.
    pub workspaces: Vec<String>,
    /// Number of tokens per cache piece.
    pub piece_tokens: u32,
    /// Maximum number of concurrent requests on a warm engine.
    pub max_running: u32,
    /// Maximum number of concurrent requests on a cold engine.
    pub cold_running: u32,
}

/// Specification of one engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name of the model it serves.
    pub model: String,
    /// JSON configuration of its stand-in.
    pub config: Value,
}

/// Specification of one store host.
#[derive(Clone, Debug)]
pub struct StoreSpec {
    /// JSON configuration of its stand-in.
    pub config: Value,
}

impl FleetSpec {
    /// Zone of the process with this index; zones are assigned round robin.
    pub fn zone(&self, index: usize) -> &str {
        &self.zones[index % self.zones.len()]
    }
}

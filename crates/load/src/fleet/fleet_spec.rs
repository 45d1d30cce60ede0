use serde_json::Value;
use std::path::PathBuf;

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Folder with the programs.
    pub programs: PathBuf,
    /// Region of all availability zones.
    pub region: String,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Entries, spread over the zones.
    pub entries: usize,
    /// Engines, spread over the zones.
    pub engines: Vec<EngineSpec>,
    /// Plain services, spread over the zones.
    pub services: Vec<String>,
    /// Store hosts.
    pub stores: Vec<StoreSpec>,
    /// Workspaces, each with one team of the same name and one caller.
    pub workspaces: Vec<String>,
    /// Tokens in a piece of cache.
    pub piece_tokens: u32,
    /// Requests that a warm engine runs at once.
    pub max_running: u32,
    /// Requests that a cold engine runs at once.
    pub cold_running: u32,
}

/// One engine of a deployment.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Model that it serves.
    pub model: String,
    /// Configuration of its stand-in.
    pub config: Value,
}

/// One store host of a deployment.
#[derive(Clone, Debug)]
pub struct StoreSpec {
    /// Configuration of its stand-in.
    pub config: Value,
}

impl FleetSpec {
    /// Zone of the `index`th of several processes.
    pub fn zone(&self, index: usize) -> &str {
        &self.zones[index % self.zones.len()]
    }
}

use crate::{
    fleet::{EngineSpec, FleetSpec, StoreSpec},
    scenario::Scenario,
    trace::{PIECE_TOKENS, workspace_name},
};
use serde_json::{Value, json};
use std::path::PathBuf;

/// Prefill time per prompt token, in microseconds: a 1000-token piece takes 40 ms.
const PREFILL_PER_TOKEN_US: u64 = 40;
/// Interval between two generated tokens, in microseconds.
const DECODE_PER_TOKEN_US: u64 = 3_000;
/// Maximum number of concurrent requests on a warm engine.
const MAX_RUNNING: u32 = 8;
/// Maximum number of concurrent requests on a cold endpoint.
const COLD_RUNNING: u32 = 2;
/// Size of the cache block of one piece, in bytes.
const BLOCK_BYTES: u64 = 32 * 1024;
/// Link bandwidth of one store, in bytes per second: one piece takes 5 ms on an idle link.
const LINK_BYTES_PER_S: u64 = 6_400 * 1024;

/// Builds the deployment specification of a scenario.
pub fn deployment(scenario: &Scenario, programs: PathBuf) -> FleetSpec {
    let site = &scenario.site;
    FleetSpec {
        programs,
        region: site.region.to_owned(),
        zones: site.zones.iter().map(|zone| (*zone).to_owned()).collect(),
        entries: site.entries,
        engines: (0..site.replicas).map(|index| engine(scenario, index)).collect(),
        services: vec![site.service.to_owned(); site.service_replicas],
        stores: (0..site.stores).map(|index| store(scenario, index)).collect(),
        workspaces: (0..scenario.workspaces).map(workspace_name).collect(),
        piece_tokens: PIECE_TOKENS,
        max_running: MAX_RUNNING,
        cold_running: COLD_RUNNING,
    }
}

fn engine(scenario: &Scenario, index: usize) -> EngineSpec {
    let config: Value = json!({
        "seed": index + 1,
        "model": scenario.site.model,
        "max_running": MAX_RUNNING,
        "prefill_per_token_us": PREFILL_PER_TOKEN_US,
        "decode_per_token_us": DECODE_PER_TOKEN_US,
        "piece_tokens": PIECE_TOKENS,
        "cache_pieces": scenario.engine_cache_pieces,
        "block_bytes": BLOCK_BYTES,
        "cold": cold_config(scenario),
    });
    EngineSpec { model: scenario.site.model.to_owned(), config }
}

/// Cold-start configuration of the engines; `None` if the scenario has no `TurnCold` event, so that
/// the engines start warm.
fn cold_config(scenario: &Scenario) -> Option<Value> {
    scenario.turns_cold().then(|| {
        json!({
            "limit": COLD_RUNNING,
            "per_request": 0.5,
            "per_s": 0.25,
            "warm": MAX_RUNNING,
            "slowdown": 1.5,
        })
    })
}

fn store(scenario: &Scenario, index: usize) -> StoreSpec {
    let bytes = scenario.store_cache_pieces as u64 * BLOCK_BYTES;
    let config = json!({
        "seed": index + 1,
        "memory_bytes": bytes / 4,
        "disk_bytes": bytes - bytes / 4,
        "faults": {"link_bytes_per_s": LINK_BYTES_PER_S},
    });
    StoreSpec { config }
}

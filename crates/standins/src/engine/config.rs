use crate::server::{AnswerFaults, ColdConfig};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Engine configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Seed of the random number generator, which also generates the boot numbers.
    pub seed: u64,
    /// Faults active at startup.
    pub faults: Faults,
    /// Name of the served model.
    pub model: String,
    /// Weight versions loaded at startup; a request without a version uses the most recently loaded
    /// one.
    pub versions: Vec<String>,
    /// Adapters loaded at startup.
    pub adapters: Vec<String>,
    /// Maximum number of requests in the running batch.
    pub max_running: usize,
    /// Maximum number of requests in the prefill phase.
    pub prefill_lanes: usize,
    /// Prefill time per prompt token that is not cached, in microseconds.
    pub prefill_per_token_us: u64,
    /// Decode time per generated token of a request, in microseconds.
    pub decode_per_token_us: u64,
    /// Tokens per cache piece.
    pub piece_tokens: usize,
    /// Capacity of the prefix cache, in pieces.
    pub cache_pieces: usize,
    /// Body size of an exported piece, in bytes.
    pub block_bytes: usize,
    /// Whether orders with a fencing token lower than the highest one seen are rejected.
    pub checks_fencing: bool,
    /// Time to load weights when `weights` is not set, in milliseconds.
    pub load_ms: u64,
    /// Address of the weight store to load weights from; with none, loading takes `load_ms`.
    pub weights: Option<SocketAddr>,
    /// Maximum number of loaded weight versions.
    pub max_versions: usize,
    /// Cold-start behavior; with none, the engine is always warm.
    pub cold: Option<ColdConfig>,
    /// Number of ended requests whose streams can still be resumed.
    pub retained_runs: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 1,
            faults: Faults::default(),
            model: "order-text".into(),
            versions: vec!["v1".into()],
            adapters: Vec::new(),
            max_running: 16,
            prefill_lanes: 1,
            prefill_per_token_us: 0,
            decode_per_token_us: 0,
            piece_tokens: 1_000,
            cache_pieces: 256,
            block_bytes: 64 * 1024,
            checks_fencing: true,
            load_ms: 300,
            weights: None,
            max_versions: 4,
            cold: None,
            retained_runs: 1_024,
        }
    }
}

/// Injected faults of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Faults common to all stand-ins: reachability, delay, lost responses and failures.
    #[serde(flatten)]
    pub answers: AnswerFaults,
    /// One-shot: resets the engine to its cold state.
    pub turn_cold: bool,
    /// One-shot: clears the prefix cache.
    pub drop_cache: bool,
    /// One-shot: fails every run, resets the cache, the loaded versions and the fencing token, and
    /// draws a new boot number.
    pub crash: bool,
    /// Delay until a cache event is published, in milliseconds.
    pub event_lag_ms: u64,
    /// Probability that a cache event is never published, in permille.
    pub event_gap_permille: u16,
    /// Whether the cache events of one response are shuffled.
    pub event_reorder: bool,
    /// Age of the load figures that `GET /load` reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Number of tokens after which a stream's connection is closed; the run continues.
    pub cut_stream_after: u32,
    /// Number of upcoming streams whose connection is closed early.
    pub cut_streams: u32,
    /// Service time relative to normal, in permille.
    pub slow_permille: u32,
    /// Delay before a received order is processed, in milliseconds.
    pub order_delay_ms: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            answers: AnswerFaults::default(),
            turn_cold: false,
            drop_cache: false,
            crash: false,
            event_lag_ms: 100,
            event_gap_permille: 0,
            event_reorder: false,
            load_lag_ms: 100,
            cut_stream_after: 0,
            cut_streams: 0,
            slow_permille: 1_000,
            order_delay_ms: 0,
        }
    }
}

impl AsRef<AnswerFaults> for Faults {
    fn as_ref(&self) -> &AnswerFaults {
        &self.answers
    }
}

impl AsMut<AnswerFaults> for Faults {
    fn as_mut(&mut self) -> &mut AnswerFaults {
        &mut self.answers
    }
}

use crate::server::{AnswerFaults, ColdConfig};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Seed of every random choice, the boot number among them.
    pub seed: u64,
    /// Faults at start.
    pub faults: Faults,
    /// Model that it serves.
    pub model: String,
    /// Versions loaded at start; a request without a version gets the last one loaded.
    pub versions: Vec<String>,
    /// Adapters loaded at start.
    pub adapters: Vec<String>,
    /// Requests that run at once.
    pub max_running: usize,
    /// Requests whose prompts are computed at once.
    pub prefill_lanes: usize,
    /// Time to compute one prompt token, in microseconds.
    pub prefill_per_token_us: u64,
    /// Time between two generated tokens of a request, in microseconds.
    pub decode_per_token_us: u64,
    /// Tokens in one piece of cache.
    pub piece_tokens: usize,
    /// Pieces that the cache holds.
    pub cache_pieces: usize,
    /// Bytes of an exported piece without its header.
    pub block_bytes: usize,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Time to load weights where no weight store is named, in milliseconds.
    pub load_ms: u64,
    /// Weight store that weights are read from.
    pub weights: Option<SocketAddr>,
    /// Versions that fit at once.
    pub max_versions: usize,
    /// Cold start; none starts warm.
    pub cold: Option<ColdConfig>,
    /// Ended requests whose streams can still be read.
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

/// Faults of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Reachability, delay, lost answers and failures.
    #[serde(flatten)]
    pub answers: AnswerFaults,
    /// Once: turns cold.
    pub turn_cold: bool,
    /// Once: loses its cache.
    pub drop_cache: bool,
    /// Once: ends every run, loses cache, loaded weights and fence, and gets a new boot number.
    pub crash: bool,
    /// Delay of cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// Chance that a cache event is never published.
    pub event_gap_permille: u16,
    /// Whether cache events come out of order within an answer.
    pub event_reorder: bool,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: u64,
    /// Tokens after which a stream's connection is cut; the run goes on.
    pub cut_stream_after: u32,
    /// Number of streams from now on that are cut.
    pub cut_streams: u32,
    /// Service time in permille of the normal one.
    pub slow_permille: u32,
    /// Time that an order takes to arrive, in milliseconds.
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

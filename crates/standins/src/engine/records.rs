use super::orders::Order;
use serde::{Deserialize, Serialize};

/// State of a run, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunOutcome {
    /// Queued or running.
    Running,
    /// All requested tokens were generated.
    Finished,
    /// Canceled by the client.
    Canceled,
    /// Failed by a crash or by overload of a cold engine.
    Failed,
}

/// Record of a completion request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Request ID given by the client.
    pub request_id: String,
    /// Cache salt of the workspace.
    pub salt: String,
    /// Weight version used.
    pub version: String,
    /// Adapter used; empty for the base model.
    pub adapter: String,
    /// Arrival time, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Rank among all requests by start of prefill, from 1; 0 until then.
    pub started: u64,
    /// Scheduling priority; higher runs first.
    pub priority: i64,
    /// Number of prompt tokens.
    pub prompt_tokens: usize,
    /// Prompt tokens reused from the cache.
    pub cached_tokens: usize,
    /// Generated tokens, set when the run ends.
    pub tokens: usize,
    /// State, or how the run ended.
    pub outcome: RunOutcome,
}

/// Record of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Order as received.
    pub order: Order,
    /// Time at which the order was checked after its delay, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Whether it passed the checks; loading its weights can still fail.
    pub is_accepted: bool,
    /// Whether its fencing token was lower than the recorded one, even if tokens are not checked.
    pub is_stale: bool,
}

/// Requests, orders and counters of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Current boot number.
    pub boot: u64,
    /// Completion requests in order of arrival.
    pub runs: Vec<RunRecord>,
    /// Orders in the sequence in which they were checked.
    pub orders: Vec<OrderRecord>,
    /// Number of orders received, including those still delayed.
    pub orders_received: u64,
    /// Total prompt tokens computed.
    pub computed_tokens: u64,
    /// Total prompt tokens reused from the cache.
    pub reused_tokens: u64,
    /// Number of times that the concurrency limit of a cold engine was exceeded.
    pub overload_cold: u64,
    /// Maximum number of running and queued requests.
    pub most_concurrent: usize,
    /// Number of exported pieces.
    pub exports: u64,
    /// Number of imported pieces, including damaged ones.
    pub imports: u64,
    /// Number of imports that were damaged or belonged to another key.
    pub bad_imports: u64,
    /// Number of imports whose connection closed before the end of the body.
    pub cut_imports: u64,
    /// Number of runs that reused a piece that was damaged or computed from other tokens or
    /// weights.
    pub wrong_reads: u64,
}

use super::orders::Order;
use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunOutcome {
    /// It waits or runs.
    Running,
    /// All tokens were generated.
    Finished,
    /// It was canceled.
    Canceled,
    /// The engine failed.
    Failed,
}

/// One request as the engine saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Name that the sender gave it.
    pub request_id: String,
    /// Salt of its workspace.
    pub salt: String,
    /// Weight version that it ran on.
    pub version: String,
    /// Adapter; empty for the plain model.
    pub adapter: String,
    /// Arrival, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Position among the requests that began to run, from 1; 0 before that.
    pub started: u64,
    /// Priority.
    pub priority: i64,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Prompt tokens taken from the cache.
    pub cached_tokens: usize,
    /// Tokens generated.
    pub tokens: usize,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// One order as the engine saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: Order,
    /// When its effect began, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Whether it was carried out.
    pub is_accepted: bool,
    /// Whether its fencing number was older than one seen before.
    pub is_stale: bool,
}

/// What an engine saw.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Boot number.
    pub boot: u64,
    /// Requests in order of arrival.
    pub runs: Vec<RunRecord>,
    /// Orders in the order in which they took effect or were refused.
    pub orders: Vec<OrderRecord>,
    /// Orders received, those still on the way included.
    pub orders_received: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Prompt tokens taken from the cache.
    pub reused_tokens: u64,
    /// Times that a cold engine got more than it bears.
    pub overload_cold: u64,
    /// Most requests that ran and waited at once.
    pub most_concurrent: usize,
    /// Pieces exported.
    pub exports: u64,
    /// Pieces imported, damaged ones included.
    pub imports: u64,
    /// Imports whose bytes were damaged or belonged to another key.
    pub bad_imports: u64,
    /// Imports whose body was cut.
    pub cut_imports: u64,
    /// Runs that read a damaged piece, or one computed from other tokens or weights.
    pub wrong_reads: u64,
}

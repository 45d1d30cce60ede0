use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Record of one executed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Sequence number of the execution, starting at 1.
    pub order: u64,
    /// Start time, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// BLAKE3 hash of the request body, in hex.
    pub body_hash: String,
    /// `Idempotency-Key` header; `None` if absent or not visible ASCII.
    pub key: Option<String>,
    /// `X-Attempt-Id` header; `None` if absent or not visible ASCII.
    pub attempt: Option<String>,
}

/// Executions and counters of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Executions in order of arrival.
    pub executions: Vec<Execution>,
    /// Executions that repeat the idempotency key of an earlier one.
    pub duplicated: u64,
    /// Executions that repeat the attempt ID of an earlier one.
    pub repeated_attempts: u64,
    /// Maximum number of concurrent executions.
    pub most_concurrent: usize,
    /// Number of calls that exceeded the concurrency limit of the cold service.
    pub overload_cold: u64,
}

impl Records {
    /// Returns a copy with the counters of repeated keys and attempts filled in.
    pub fn with_repeat_counts(&self) -> Self {
        Self {
            duplicated: count_repeats(self.executions.iter().filter_map(|e| e.key.as_deref())),
            repeated_attempts: count_repeats(
                self.executions.iter().filter_map(|e| e.attempt.as_deref()),
            ),
            ..self.clone()
        }
    }
}

fn count_repeats<'a>(values: impl Iterator<Item = &'a str>) -> u64 {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    values.for_each(|value| *counts.entry(value).or_default() += 1);
    counts.values().map(|count| count - 1).sum()
}

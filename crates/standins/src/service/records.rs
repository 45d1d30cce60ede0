use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Position in the service's executions, from 1.
    pub order: u64,
    /// When it began, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// blake3 hash of the body, in hex.
    pub body_hash: String,
    /// `Idempotency-Key`.
    pub key: Option<String>,
    /// `X-Attempt-Id`.
    pub attempt: Option<String>,
}

/// What a plain service saw.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Executions in order.
    pub executions: Vec<Execution>,
    /// Executions beyond the first of the same key.
    pub duplicated: u64,
    /// Attempts that arrived more than once.
    pub repeated_attempts: u64,
    /// Most calls at once.
    pub most_concurrent: usize,
    /// Times that a cold service got more than it bears.
    pub overload_cold: u64,
}

impl Records {
    /// The records with repeated keys and attempts counted.
    pub fn counted(&self) -> Self {
        Self {
            duplicated: repeats(self.executions.iter().filter_map(|e| e.key.as_deref())),
            repeated_attempts: repeats(self.executions.iter().filter_map(|e| e.attempt.as_deref())),
            ..self.clone()
        }
    }
}

fn repeats<'a>(names: impl Iterator<Item = &'a str>) -> u64 {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    names.for_each(|name| *counts.entry(name).or_default() += 1);
    counts.values().map(|count| count - 1).sum()
}

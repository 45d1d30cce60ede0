use serde_json::Value;
use std::{collections::BTreeMap, fmt};

/// Result counts of a demo run, from the responses and the records of the services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemoSummary {
    /// Number of prompts and orders sent.
    pub served: usize,
    /// Number of prompts with a complete and correct response, and of orders with the response of
    /// the service from every entry.
    pub whole: usize,
    /// Number of prompts without a complete and correct response, and of orders without an
    /// execution record.
    pub lost: usize,
    /// Number of executions of orders beyond the first of each key.
    pub duplicated: usize,
}

impl fmt::Display for DemoSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { served, whole, lost, duplicated } = self;
        write!(f, "served={served} whole={whole} lost={lost} duplicated={duplicated}")
    }
}

impl DemoSummary {
    /// Whether every request succeeded and no order was lost or executed twice.
    pub fn is_success(&self) -> bool {
        self.served > 0 && self.whole == self.served && self.lost == 0 && self.duplicated == 0
    }
}

/// Number of executions of each order, by idempotency key, over the records of all services.
pub fn executions_by_key(records: &[Value]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    records
        .iter()
        .filter_map(|record| record["executions"].as_array())
        .flatten()
        .filter_map(|execution| execution["key"].as_str())
        .for_each(|key| *counts.entry(key.to_owned()).or_default() += 1);
    counts
}

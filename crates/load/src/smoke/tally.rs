use serde_json::Value;
use std::{collections::BTreeMap, fmt};

/// Counts of a demo, taken from the records of engines and services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Prompts and orders that were answered.
    pub served: usize,
    /// Prompts whose answer was whole and right, and orders whose answer was the service's.
    pub whole: usize,
    /// Prompts without a whole answer and answered orders that no service has a record of.
    pub lost: usize,
    /// Executions of an order beyond its first.
    pub duplicated: usize,
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { served, whole, lost, duplicated } = self;
        write!(f, "served={served} whole={whole} lost={lost} duplicated={duplicated}")
    }
}

impl Tally {
    /// Whether nothing was lost, duplicated or cut.
    pub fn is_good(&self) -> bool {
        self.served > 0 && self.whole == self.served && self.lost == 0 && self.duplicated == 0
    }
}

/// Executions of each order, by key, from the records of all services.
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

use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Response of `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Boot number; changes when the engine crashes.
    pub boot: u64,
    /// Number of running requests.
    pub running: usize,
    /// Number of queued requests.
    pub waiting: usize,
    /// Loaded weight versions by model, in load order.
    pub versions: BTreeMap<String, Vec<String>>,
    /// Loaded adapters, in load order.
    pub adapters: Vec<String>,
    /// Number of pieces in the prefix cache.
    pub pieces: usize,
    /// Role set by the last `set_role` order; `both` after a boot.
    pub role: String,
}

/// Recent load samples, from which stale load is reported.
#[derive(Debug, Default)]
pub struct LoadHistory {
    samples: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    /// Appends a sample and drops those too old to be reported with `lag`.
    pub fn push(&mut self, load: Load, lag: Duration) {
        self.samples.push_back((Instant::now(), load));
        while self.samples.get(1).is_some_and(|(at, _)| at.elapsed() > lag) {
            self.samples.pop_front();
        }
    }

    /// Load as of `lag` ago, or the oldest sample if none is that old.
    pub fn at(&self, lag: Duration) -> Load {
        let old = self.samples.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.or(self.samples.front()).map(|(_, load)| load.clone()).unwrap_or_default()
    }
}

use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Answer of `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Boot number.
    pub boot: u64,
    /// Requests running.
    pub running: usize,
    /// Requests waiting.
    pub waiting: usize,
    /// Versions loaded, by model, in the order in which they were loaded.
    pub versions: BTreeMap<String, Vec<String>>,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// Pieces in the cache.
    pub pieces: usize,
    /// Role as last ordered.
    pub role: String,
}

/// Past loads, so that an old one can be reported.
#[derive(Debug, Default)]
pub struct LoadHistory {
    samples: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    /// Adds the present load and forgets those that no report with `lag` needs any more.
    pub fn push(&mut self, load: Load, lag: Duration) {
        self.samples.push_back((Instant::now(), load));
        while self.samples.get(1).is_some_and(|(at, _)| at.elapsed() > lag) {
            self.samples.pop_front();
        }
    }

    /// The load as of `lag` ago.
    pub fn at(&self, lag: Duration) -> Load {
        let old = self.samples.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.or(self.samples.front()).map(|(_, load)| load.clone()).unwrap_or_default()
    }
}

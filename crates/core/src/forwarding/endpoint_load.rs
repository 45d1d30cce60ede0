use crate::ids::{DaemonId, EndpointId, FastMap};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time after which what another daemon told of its requests counts for nothing.
const PEER_WORK_AGE: Duration = Duration::from_millis(1_500);
/// Reading rate of an engine before any was seen, in prompt tokens a millisecond.
const FIRST_RATE: f64 = 30.0;
/// Weight of a reading that was faster than known.
const FASTER_WEIGHT: f64 = 0.2;
/// Weight of a reading that was slower, which mostly tells of a queue.
const SLOWER_WEIGHT: f64 = 0.01;
/// Smallest reading that tells of the rate, in prompt tokens.
const MIN_READING_TOKENS: u64 = 1_500;

/// Requests of one daemon at an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointWork {
    /// Engine.
    pub endpoint: EndpointId,
    /// Requests.
    pub requests: u32,
    /// Prompt tokens of requests whose answer has not begun.
    pub unread_tokens: u64,
    /// Tokens that the requests hold in memory.
    pub memory_tokens: u64,
}

/// What the other daemons have told of their requests at engines.
#[derive(Clone, Debug, Default)]
pub struct PeerWork {
    told: FastMap<DaemonId, (Instant, FastMap<EndpointId, EndpointWork>)>,
}

impl PeerWork {
    /// Takes all that a daemon has at engines.
    pub fn take(&mut self, now: Instant, daemon: DaemonId, work: Vec<EndpointWork>) {
        let by_endpoint = work.into_iter().map(|work| (work.endpoint.clone(), work)).collect();
        self.told.insert(daemon, (now, by_endpoint));
        self.told.retain(|_, (at, _)| now < *at + PEER_WORK_AGE);
    }

    /// Work of all other daemons at an engine.
    pub fn at(&self, now: Instant, endpoint: &EndpointId) -> EndpointWork {
        let fresh = self.told.values().filter(|(at, _)| now < *at + PEER_WORK_AGE);
        let work = fresh.filter_map(|(_, work)| work.get(endpoint));
        work.fold(EndpointWork::default(), |sum, work| EndpointWork {
            endpoint: work.endpoint.clone(),
            requests: sum.requests + work.requests,
            unread_tokens: sum.unread_tokens + work.unread_tokens,
            memory_tokens: sum.memory_tokens + work.memory_tokens,
        })
    }
}

/// Rate at which an engine reads prompts, learnt from the times to first token.
#[derive(Clone, Debug)]
pub struct ReadRate {
    tokens_per_ms: f64,
}

impl Default for ReadRate {
    fn default() -> Self {
        Self { tokens_per_ms: FIRST_RATE }
    }
}

impl ReadRate {
    /// Takes a reading of a prompt with nothing before it in the queue.
    pub fn learn(&mut self, tokens: u64, time: Duration) {
        if tokens < MIN_READING_TOKENS || time.is_zero() {
            return;
        }
        let seen = tokens as f64 / (time.as_secs_f64() * 1e3);
        let weight = if seen > self.tokens_per_ms { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        self.tokens_per_ms += weight * (seen - self.tokens_per_ms);
    }

    /// Prompt tokens a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }
}

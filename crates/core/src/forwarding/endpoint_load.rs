use crate::ids::{DaemonId, EndpointId, FastMap};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Age after which another daemon's load report is ignored.
const PEER_REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Initial estimate of an engine's prefill rate, in prompt tokens per millisecond.
const INITIAL_RATE: f64 = 30.0;
/// Weight of a sample that is faster than the estimate.
const FASTER_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample that is slower, which is usually caused by queueing in the engine.
const SLOWER_SAMPLE_WEIGHT: f64 = 0.01;
/// Minimum prompt tokens of a sample; shorter prompts say little about the rate.
const MIN_SAMPLE_TOKENS: u64 = 1_500;

/// Load that one daemon places on an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointWork {
    /// Endpoint of the engine.
    pub endpoint: EndpointId,
    /// Number of requests in flight.
    pub requests: u32,
    /// Prompt tokens not prefilled yet, of requests whose answer has not started.
    pub unread_tokens: u64,
    /// KV-cache tokens that the requests occupy.
    pub memory_tokens: u64,
}

/// Latest load reports of the other daemons.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    reports: FastMap<DaemonId, (Instant, FastMap<EndpointId, EndpointWork>)>,
}

impl PeerLoads {
    /// Stores a daemon's report of the time `at`, unless a later one is known, and drops expired
    /// reports.
    pub fn record_report(
        &mut self,
        now: Instant,
        at: Instant,
        daemon: DaemonId,
        work: Vec<EndpointWork>,
    ) {
        let is_newest = self.reports.get(&daemon).is_none_or(|(known, _)| at >= *known);
        if is_newest {
            let by_endpoint = work.into_iter().map(|work| (work.endpoint.clone(), work)).collect();
            self.reports.insert(daemon, (at, by_endpoint));
        }
        self.reports.retain(|_, (at, _)| now < *at + PEER_REPORT_MAX_AGE);
    }

    /// Total load of all other daemons at an engine, from unexpired reports.
    pub fn total_at(&self, now: Instant, endpoint: &EndpointId) -> EndpointWork {
        let fresh = self.reports.values().filter(|(at, _)| now < *at + PEER_REPORT_MAX_AGE);
        let work = fresh.filter_map(|(_, work)| work.get(endpoint));
        work.fold(EndpointWork::default(), |sum, work| EndpointWork {
            endpoint: work.endpoint.clone(),
            requests: sum.requests + work.requests,
            unread_tokens: sum.unread_tokens + work.unread_tokens,
            memory_tokens: sum.memory_tokens + work.memory_tokens,
        })
    }
}

/// Moving estimate of an engine's prefill rate, from times to first token.
#[derive(Clone, Debug)]
pub struct PrefillRateEstimate {
    tokens_per_ms: f64,
}

impl Default for PrefillRateEstimate {
    fn default() -> Self {
        Self { tokens_per_ms: INITIAL_RATE }
    }
}

impl PrefillRateEstimate {
    /// Adds a sample: `tokens` were prefilled within `time`, which may include queueing in the
    /// engine. Samples below `MIN_SAMPLE_TOKENS` are ignored.
    pub fn add_sample(&mut self, tokens: u64, time: Duration) {
        if tokens < MIN_SAMPLE_TOKENS || time.is_zero() {
            return;
        }
        let sample = tokens as f64 / (time.as_secs_f64() * 1e3);
        let weight =
            if sample > self.tokens_per_ms { FASTER_SAMPLE_WEIGHT } else { SLOWER_SAMPLE_WEIGHT };
        self.tokens_per_ms += weight * (sample - self.tokens_per_ms);
    }

    /// Estimated rate in prompt tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }
}

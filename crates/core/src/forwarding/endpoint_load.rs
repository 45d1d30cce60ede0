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

/// Load that all other daemons together place on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Number of requests in flight.
    pub requests: u32,
    /// Prompt tokens not prefilled yet.
    pub unread_tokens: u64,
    /// KV-cache tokens that the requests occupy.
    pub memory_tokens: u64,
}

impl PeerLoad {
    fn add(&mut self, work: &EndpointWork) {
        self.requests += work.requests;
        self.unread_tokens += work.unread_tokens;
        self.memory_tokens += work.memory_tokens;
    }

    fn subtract(&mut self, work: &EndpointWork) {
        self.requests -= work.requests;
        self.unread_tokens -= work.unread_tokens;
        self.memory_tokens -= work.memory_tokens;
    }
}

/// Latest load reports of the other daemons.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    reports: FastMap<DaemonId, (Instant, Vec<EndpointWork>)>,
    /// Sums of all reports, so that a decision does not depend on the number of daemons.
    totals: FastMap<EndpointId, PeerLoad>,
    oldest: Option<Instant>,
    /// Mean time of the reports, since the oldest one.
    mean_since_oldest: Duration,
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
        if self.reports.get(&daemon).is_some_and(|(known, _)| at < *known) {
            return self.expire(now);
        }
        self.remove(&daemon);
        for work in &work {
            self.totals.entry(work.endpoint.clone()).or_default().add(work);
        }
        self.reports.insert(daemon, (at, work));
        self.expire(now);
    }

    /// Total load of all other daemons at an engine, from unexpired reports.
    pub fn total_at(&self, now: Instant, endpoint: &EndpointId) -> PeerLoad {
        if self.oldest.is_none_or(|oldest| is_fresh(now, oldest)) {
            return self.totals.get(endpoint).copied().unwrap_or_default();
        }
        let fresh = self.reports.values().filter(|(at, _)| is_fresh(now, *at));
        let work = fresh.flat_map(|(_, work)| work).filter(|work| work.endpoint == *endpoint);
        work.fold(PeerLoad::default(), |mut sum, work| {
            sum.add(work);
            sum
        })
    }

    /// Mean age of the reports; zero if there are none.
    pub fn mean_age(&self, now: Instant) -> Duration {
        let mean = self.oldest.map(|oldest| oldest + self.mean_since_oldest);
        mean.map_or(Duration::ZERO, |mean| now.saturating_duration_since(mean))
    }

    fn expire(&mut self, now: Instant) {
        if self.oldest.is_some_and(|oldest| !is_fresh(now, oldest)) {
            let expired = self.reports.iter().filter(|(_, (at, _))| !is_fresh(now, *at));
            let expired: Vec<DaemonId> = expired.map(|(daemon, _)| daemon.clone()).collect();
            expired.iter().for_each(|daemon| self.remove(daemon));
        }
        self.oldest = self.reports.values().map(|(at, _)| *at).min();
        let Some(oldest) = self.oldest else { return };
        let since: Duration = self.reports.values().map(|(at, _)| *at - oldest).sum();
        self.mean_since_oldest = since / self.reports.len() as u32;
    }

    fn remove(&mut self, daemon: &DaemonId) {
        let Some((_, works)) = self.reports.remove(daemon) else { return };
        for work in works {
            let Some(total) = self.totals.get_mut(&work.endpoint) else { continue };
            total.subtract(&work);
            if *total == PeerLoad::default() {
                self.totals.remove(&work.endpoint);
            }
        }
    }
}

fn is_fresh(now: Instant, at: Instant) -> bool {
    now < at + PEER_REPORT_MAX_AGE
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

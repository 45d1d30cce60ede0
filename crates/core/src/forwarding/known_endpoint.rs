use super::{
    ColdRate, EndpointEntry, EndpointHealth, EndpointPhase, EndpointWork, LoadReport, PlacedWork,
    ReadRate,
};
use crate::ids::stable_hash;
use std::time::{Duration, Instant};

/// Time after which a load report counts for nothing.
const LOAD_REPORT_AGE: Duration = Duration::from_secs(1);

/// What a daemon knows of an endpoint.
#[derive(Clone, Debug)]
pub struct KnownEndpoint {
    /// Its own entry.
    pub entry: EndpointEntry,
    /// Hash of its name.
    pub name_hash: u64,
    /// Requests of this daemon that it has.
    pub work: EndpointWork,
    /// Outcomes of requests.
    pub health: EndpointHealth,
    /// Rate at which it reads prompts.
    pub rate: ReadRate,
    /// Bound while it is cold.
    pub cold: Option<ColdRate>,
    /// Time at which it counts as gone, after its entry was missing at the store's return.
    pub gone_at: Option<Instant>,
    others: f64,
    reported: Option<(Instant, u32)>,
}

impl KnownEndpoint {
    /// Starts with a new endpoint's entry.
    pub fn new(now: Instant, entry: EndpointEntry) -> Self {
        let cold_until = now + entry.cold_left;
        Self {
            name_hash: stable_hash(entry.id.as_bytes()),
            work: EndpointWork { endpoint: entry.id.clone(), ..EndpointWork::default() },
            health: EndpointHealth::new(now),
            rate: ReadRate::default(),
            cold: (!entry.cold_left.is_zero()).then(|| ColdRate::new(now, cold_until)),
            gone_at: None,
            others: 0.0,
            reported: None,
            entry,
        }
    }

    /// Whether an entry speaks of this boot of the endpoint.
    pub fn is_same_boot(&self, entry: &EndpointEntry) -> bool {
        self.entry.born_unix_ms == entry.born_unix_ms
            && self.entry.address == entry.address
            && self.entry.service == entry.service
    }

    /// Takes a later entry of the same boot; weights that were seen since are kept.
    pub fn update(&mut self, now: Instant, mut entry: EndpointEntry) {
        for (model, version) in &mut entry.weights {
            let seen = self.entry.version_of(model).unwrap_or_default();
            *version = seen.max(*version);
        }
        if !entry.cold_left.is_zero() {
            self.set_cold(now, entry.cold_left);
        }
        self.gone_at = None;
        self.entry = entry;
    }

    /// Takes note that it is cold for some time.
    pub fn set_cold(&mut self, now: Instant, cold_for: Duration) {
        match self.cold.as_mut().filter(|cold| cold.is_cold(now)) {
            Some(cold) => cold.extend(now + cold_for),
            None => self.cold = Some(ColdRate::new(now, now + cold_for)),
        }
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.as_ref().is_some_and(|cold| cold.is_cold(now))
    }

    /// Whether it takes requests at all.
    pub fn is_ready(&self) -> bool {
        self.entry.phase == EndpointPhase::Ready
    }

    /// Counts a request that is sent.
    pub fn add(&mut self, work: &PlacedWork) {
        self.work.requests += 1;
        self.work.unread_tokens += work.unread_tokens;
        self.work.memory_tokens += work.memory_tokens;
    }

    /// Counts the beginning of an answer.
    pub fn begin(&mut self, work: &PlacedWork) {
        self.work.unread_tokens = self.work.unread_tokens.saturating_sub(work.unread_tokens);
    }

    /// Counts the end of a request.
    pub fn end(&mut self, work: &PlacedWork) {
        self.work.requests = self.work.requests.saturating_sub(1);
        self.work.memory_tokens = self.work.memory_tokens.saturating_sub(work.memory_tokens);
    }

    /// Takes the requests that it says it has.
    pub fn on_load(&mut self, now: Instant, requests: u32) {
        self.others = f64::from(requests.saturating_sub(self.work.requests));
        self.reported = Some((now, requests));
    }

    /// Its last report of its load.
    pub fn load_report(&self, now: Instant) -> Option<LoadReport> {
        let (at, requests) = self.reported?;
        Some(LoadReport { requests, age: now.saturating_duration_since(at) })
    }

    /// Requests of other daemons that it is taken to have by its last report.
    pub fn others(&self, now: Instant) -> f64 {
        let Some(report) = self.load_report(now) else { return 0.0 };
        let fresh = 1.0 - report.age.as_secs_f64() / LOAD_REPORT_AGE.as_secs_f64();
        self.others * fresh.max(0.0)
    }
}

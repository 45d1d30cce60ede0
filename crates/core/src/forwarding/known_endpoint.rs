use super::{
    AdvertisedLimit, BootNotices, ColdCheck, ColdRateLimiter, EndpointEntry, EndpointHealth,
    EndpointPhase, EndpointWork, LoadReport, PrefillRateEstimate, RecentSends, RequestWork,
    WorkTimeEstimate,
};
use crate::ids::stable_hash;
use std::time::{Duration, Instant};

/// Age at which an endpoint's own load report is ignored.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_secs(1);

/// Weight of a new sample in the mean time of an answer.
const ANSWER_TIME_WEIGHT: f64 = 0.05;

/// Registration, load and health of an endpoint, as known to one daemon.
#[derive(Clone, Debug)]
pub struct KnownEndpoint {
    /// Registration, as last published by the endpoint.
    pub entry: EndpointEntry,
    /// Stable hash of the endpoint's name, for tie-breaking and rendezvous hashing.
    pub name_hash: u64,
    /// Load that this daemon places on the endpoint.
    pub work: EndpointWork,
    /// Health derived from request outcomes.
    pub health: EndpointHealth,
    /// Estimated prefill rate.
    pub prefill_rate: PrefillRateEstimate,
    /// Estimated time that work takes there, relative to the usual time.
    pub work_time: WorkTimeEstimate,
    /// Requests that this daemon lately sent there.
    pub recent_sends: RecentSends,
    /// Rate limiter for the cold period; `None` if the endpoint was never cold.
    pub cold: Option<ColdRateLimiter>,
    /// When it is asked whether it is cold.
    pub cold_check: ColdCheck,
    /// Rank of this daemon among those that may send to the endpoint while it is cold or limited.
    pub rank: usize,
    /// Limit that the endpoint advertises; `None` if it never advertised one.
    pub advertised_limit: Option<AdvertisedLimit>,
    /// What this boot has said of the requests that it wants.
    pub notices: BootNotices,
    /// Scheduled removal, set when the entry vanished while the store was unavailable or had just
    /// come back: its lease may only have lapsed, and the entry may be written again.
    pub removal_due: Option<Instant>,
    other_requests: f64,
    answer_time: Option<Duration>,
    last_report: Option<(Instant, u32)>,
}

impl KnownEndpoint {
    /// Creates the state of a newly registered endpoint.
    pub fn new(now: Instant, entry: EndpointEntry) -> Self {
        let cold_until = now + entry.cold_left;
        Self {
            name_hash: stable_hash(entry.id.as_bytes()),
            work: EndpointWork { endpoint: entry.id.clone(), ..EndpointWork::default() },
            health: EndpointHealth::new(now),
            prefill_rate: PrefillRateEstimate::default(),
            work_time: WorkTimeEstimate::default(),
            recent_sends: RecentSends::default(),
            cold: (!entry.cold_left.is_zero()).then(|| ColdRateLimiter::new(now, cold_until)),
            cold_check: ColdCheck::default(),
            rank: 0,
            advertised_limit: None,
            notices: BootNotices::default(),
            removal_due: None,
            other_requests: 0.0,
            answer_time: None,
            last_report: None,
            entry,
        }
    }

    /// Sets what the boot has said while it had an entry before.
    pub fn with_notices(self, notices: BootNotices) -> Self {
        Self { notices, ..self }
    }

    /// Whether an entry was written by the same boot of the endpoint.
    pub fn is_same_boot(&self, entry: &EndpointEntry) -> bool {
        self.entry.is_same_boot(entry)
    }

    /// Applies a later entry of the same boot; newer weight versions seen in answers are kept. An
    /// engine that has loaded newer weights accepts requests again.
    pub fn update(&mut self, now: Instant, mut entry: EndpointEntry) {
        for (model, version) in &mut entry.weights {
            let seen = self.entry.version_of(model).unwrap_or_default();
            if *version > seen {
                self.health.end_requested_backoff(now);
            }
            *version = seen.max(*version);
        }
        if !entry.cold_left.is_zero() {
            self.set_cold(now, entry.cold_left);
        }
        self.removal_due = None;
        self.entry = entry;
    }

    /// Records that the endpoint is cold for `cold_for` from now; it extends a cold period in
    /// progress.
    pub fn set_cold(&mut self, now: Instant, cold_for: Duration) {
        match self.cold.as_mut().filter(|cold| cold.is_cold(now)) {
            Some(cold) => cold.extend(now + cold_for),
            None => self.cold = Some(ColdRateLimiter::new(now, now + cold_for)),
        }
    }

    /// Whether the endpoint is in its cold period.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.as_ref().is_some_and(|cold| cold.is_cold(now))
    }

    /// Whether the rank of this daemon matters for the endpoint.
    pub fn needs_rank(&self) -> bool {
        self.cold.is_some() || self.advertised_limit.is_some()
    }

    /// Requests a second that the endpoint takes from all daemons together, as it last said; `None`
    /// while it advertises no limit.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.advertised_limit.as_ref().and_then(AdvertisedLimit::per_s)
    }

    /// Records what the endpoint said of its limit. Returns whether that has changed.
    pub fn on_limit(
        &mut self,
        now: Instant,
        said_at: Instant,
        per_s: Option<f64>,
        is_own: bool,
    ) -> bool {
        match &mut self.advertised_limit {
            Some(limit) => limit.on_statement(said_at, per_s, is_own),
            None if per_s.is_none() => false,
            None => {
                self.advertised_limit = Some(AdvertisedLimit::new(now, said_at, per_s, is_own));
                true
            }
        }
    }

    /// Whether the time in which its entry may be written again has ended.
    pub fn is_removal_due(&self, now: Instant) -> bool {
        self.removal_due.is_some_and(|at| now >= at)
    }

    /// Whether it asked for a pause that has not ended.
    pub fn is_pausing(&self, now: Instant) -> bool {
        self.notices.pause().is_some_and(|pause| pause.is_closed(now))
    }

    /// Whether the endpoint accepts new requests, as its entry and its answers say.
    pub fn is_ready(&self) -> bool {
        self.is_listed_ready() && self.notices.leaving_since().is_none()
    }

    /// Whether the endpoint's entry says that it accepts new requests.
    pub fn is_listed_ready(&self) -> bool {
        self.entry.phase == EndpointPhase::Ready
    }

    /// Records that a request was sent.
    pub fn add(&mut self, work: &RequestWork) {
        self.work.requests += 1;
        self.work.unread_tokens += work.unread_tokens;
        self.work.memory_tokens += work.memory_tokens;
    }

    /// Records the start of an answer, which ends the prefill.
    pub fn begin(&mut self, work: &RequestWork) {
        self.work.unread_tokens = self.work.unread_tokens.saturating_sub(work.unread_tokens);
    }

    /// Records the end of a request.
    pub fn end(&mut self, work: &RequestWork) {
        self.work.requests = self.work.requests.saturating_sub(1);
        self.work.memory_tokens = self.work.memory_tokens.saturating_sub(work.memory_tokens);
    }

    /// Records the number of requests that the endpoint reports.
    pub fn on_load(&mut self, now: Instant, requests: u32) {
        self.other_requests = f64::from(requests.saturating_sub(self.work.requests));
        self.last_report = Some((now, requests));
    }

    /// The endpoint's last load report; `None` if it never sent one.
    pub fn load_report(&self, now: Instant) -> Option<LoadReport> {
        let (at, requests) = self.last_report?;
        Some(LoadReport { requests, age: now.saturating_duration_since(at) })
    }

    /// Records the time from the sending of a request to the start of its answer.
    pub fn on_answer_time(&mut self, time: Duration) {
        let mean = self.answer_time.unwrap_or(time).as_secs_f64();
        let mean = mean + (time.as_secs_f64() - mean) * ANSWER_TIME_WEIGHT;
        self.answer_time = Some(Duration::from_secs_f64(mean));
    }

    /// Mean time from the sending of a request to the start of its answer.
    pub fn answer_time(&self) -> Option<Duration> {
        self.answer_time
    }

    /// Requests of other daemons when the endpoint last reported its load, and the time of that.
    pub fn last_others(&self) -> Option<(f64, Instant)> {
        let (at, _) = self.last_report?;
        Some((self.other_requests, at))
    }

    /// Estimated requests of other daemons, from the last report and weighted down with its age.
    pub fn other_requests(&self, now: Instant) -> f64 {
        let Some(report) = self.load_report(now) else { return 0.0 };
        let freshness = 1.0 - report.age.as_secs_f64() / LOAD_REPORT_MAX_AGE.as_secs_f64();
        self.other_requests * freshness.max(0.0)
    }
}

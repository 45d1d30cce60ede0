use super::{
    call::Call,
    metrics::ForwardMetrics,
    quarantine::{KeptAway, SuspectCount},
    request_log::{RequestEnd, RequestLog},
};
use cassiagw_core::{
    forwarding::{Fault, Picked, Refusal, ResumeRefusal, RetryDecision},
    ids::{EndpointId, ServiceVersion},
};
use std::{
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Maximum number of decisions recorded per request; later ones are discarded.
const MAX_DECISIONS: usize = 48;

/// A decision about a request and its inputs.
#[derive(Clone, Debug)]
pub enum Decision {
    /// No endpoint had capacity, so the request was queued.
    Queued {
        /// Length of the queue at that time.
        ahead: usize,
    },
    /// The request was refused because the expected wait exceeds the time it has.
    NoRoomInTime {
        /// Length of the queue at that time.
        ahead: usize,
        /// Expected wait for capacity.
        wait: Duration,
    },
    /// All endpoints asked for a time without requests.
    EndpointsPaused {
        /// Time until the first of them wants requests again.
        wait: Duration,
    },
    /// An endpoint was selected.
    Placed(Box<Picked>),
    /// The request is sent although endpoints crashed under it or parts of its prompt.
    Suspected(Vec<SuspectCount>),
    /// The caller resumes a stream that broke off.
    Resume {
        /// Request that began the stream, if the caller named it.
        resumes: Option<String>,
        /// Whether the view had to be proved complete.
        has_confirmed: bool,
        /// Whether other daemons were asked for the version that began the stream.
        has_asked: bool,
        /// Version at which the stream goes on, or why it does not.
        result: Result<ServiceVersion, ResumeRefusal>,
    },
    /// Cached parts of the prompt are fetched or saved.
    PartsMoved {
        /// Number of parts that the engine fetches.
        fetched: usize,
        /// Number of parts that the engine saves.
        saved: usize,
        /// Whether newer weights than those of the engine are announced.
        is_outdated: bool,
    },
    /// The request was kept away from the endpoints.
    KeptAway(KeptAway),
    /// An attempt failed.
    Failed {
        /// Endpoint of the attempt.
        endpoint: EndpointId,
        /// Kind of failure.
        fault: Fault,
        /// Whether the request is retried or refused.
        next: RetryDecision,
    },
}

/// A decision and its time, relative to the arrival of the request.
#[derive(Clone, Debug)]
pub struct TimedDecision {
    /// Time since the arrival of the request.
    pub at: Duration,
    /// What was decided.
    pub decision: Decision,
}

/// Timing of the response to the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTimes {
    /// Time from arrival to the first bytes, `None` before them.
    pub first: Option<Duration>,
    /// Longest gap between two chunks of the body sent to the caller.
    pub longest_pause: Duration,
    /// Time from arrival to the most recent bytes.
    last: Duration,
}

/// Decisions and response timing of one request, logged when it ends.
pub struct RequestRecord {
    log: Arc<RequestLog>,
    metrics: Arc<ForwardMetrics>,
    arrival: Instant,
    state: Mutex<RecordState>,
}

#[derive(Default)]
struct RecordState {
    decisions: Vec<TimedDecision>,
    times: ResponseTimes,
    is_ended: bool,
}

impl RequestRecord {
    /// Creates an empty record for a request.
    pub fn new(log: Arc<RequestLog>, metrics: Arc<ForwardMetrics>, arrival: Instant) -> Self {
        Self { log, metrics, arrival, state: Mutex::default() }
    }

    /// Adds a decision with the current time.
    pub fn add_decision(&self, decision: Decision) {
        let at = self.arrival.elapsed();
        let mut state = self.state();
        if state.decisions.len() < MAX_DECISIONS {
            state.decisions.push(TimedDecision { at, decision });
        }
    }

    /// Records that response bytes were sent to the caller. Returns whether they are the first.
    pub fn on_response_bytes(&self) -> bool {
        let at = self.arrival.elapsed();
        let mut state = self.state();
        let times = &mut state.times;
        let is_first = times.first.is_none();
        match is_first {
            true => times.first = Some(at),
            false => times.longest_pause = times.longest_pause.max(at.saturating_sub(times.last)),
        }
        times.last = at;
        is_first
    }

    /// Whether any response bytes were sent to the caller.
    pub fn has_response_started(&self) -> bool {
        self.state().times.first.is_some()
    }

    /// Counts the request and writes its log lines. Only the first call has an effect.
    pub fn end(&self, call: &Call, end: &RequestEnd<'_>) {
        let (decisions, times) = {
            let mut state = self.state();
            if state.is_ended {
                return;
            }
            state.is_ended = true;
            (mem::take(&mut state.decisions), state.times)
        };
        self.metrics.count_request(call.route.kind, end.outcome);
        self.log.write(call, end, &decisions, times);
    }

    /// Whether the end of the request was recorded.
    pub fn is_ended(&self) -> bool {
        self.state().is_ended
    }

    fn state(&self) -> MutexGuard<'_, RecordState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Decision {
    /// Writes the log line of the decision.
    pub fn write(&self, id: &str, at: Duration) {
        let at_ms = at.as_millis() as u64;
        match self {
            Self::Queued { ahead } => log::info!(event = "request_queued", id, at_ms, ahead; ""),
            Self::NoRoomInTime { ahead, wait } => {
                let wait_ms = wait.as_millis() as u64;
                log::info!(event = "request_no_room", id, at_ms, ahead, wait_ms; "");
            }
            Self::EndpointsPaused { wait } => {
                let wait_ms = wait.as_millis() as u64;
                log::info!(event = "request_endpoints_paused", id, at_ms, wait_ms; "");
            }
            Self::Placed(picked) => write_placed(picked, id, at_ms),
            Self::Suspected(suspects) => {
                let suspects: Vec<String> = suspects.iter().map(ToString::to_string).collect();
                log::info!(event = "request_suspected", id, at_ms, suspects = suspects.join(","); "");
            }
            Self::Resume { resumes, has_confirmed, has_asked, result } => log::info!(
                event = "request_resumes", id, at_ms, resumes:% = display_or_none(resumes.as_ref()), has_confirmed, has_asked,
                version = result.as_ref().map_or("none", |version| &**version),
                refusal = result.as_ref().err().map_or("none", |refusal| refusal.cause()); ""
            ),
            Self::PartsMoved { fetched, saved, is_outdated } => {
                log::info!(event = "request_parts", id, at_ms, fetched, saved, is_outdated; "");
            }
            Self::KeptAway(kept) => log::info!(
                event = "request_kept_away", id, at_ms, kind = kept.kind.name(), part = &*kept.name, crashes = kept.crashes,
                endpoints = kept.endpoints.join(","), left_s = kept.left.as_secs(); ""
            ),
            Self::Failed { endpoint, fault, next } => log::info!(
                event = "request_attempt_failed", id, at_ms, endpoint:% = endpoint,
                fault = fault.name(), proof = fault.execution_state().name(), next = decision_name(*next); ""
            ),
        }
    }
}

fn write_placed(picked: &Picked, id: &str, at_ms: u64) {
    let inputs = &picked.inputs;
    let report = inputs.load_report;
    log::info!(
        event = "request_placed", id, at_ms, endpoint:% = picked.entry.id,
        zone:% = picked.entry.zone, candidates = inputs.candidates, requests = inputs.requests,
        ahead_tokens = inputs.unread_tokens, unread_tokens = picked.work.unread_tokens,
        reported_requests:% = display_or_none(report.map(|report| report.requests)),
        report_age_ms:% = display_or_none(report.map(|report| report.age.as_millis())),
        work_time_percent:% = display_or_none(inputs.work_time.map(|sample| sample.percent)),
        work_time_age_ms:% = display_or_none(inputs.work_time.map(|sample| sample.age.as_millis())),
        failure_rate:% = format_args!("{:.2}", inputs.failure_rate), cold = inputs.is_cold,
        limit_per_s:% = display_or_none(inputs.limit_per_s),
        weights:% = display_or_none(picked.version), software:% = picked.entry.version; ""
    );
}

/// Formats an optional value, `none` if it is missing.
pub fn display_or_none(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}

/// Name of a retry decision in the log and the metrics.
pub fn decision_name(next: RetryDecision) -> &'static str {
    match next {
        RetryDecision::RetryElsewhere => "sent_elsewhere",
        RetryDecision::Refuse(Refusal::NotRun) => "told_not_run",
        RetryDecision::Refuse(Refusal::Unknown) => "told_unknown",
        RetryDecision::Refuse(Refusal::TimedOut) => "told_timed_out",
    }
}

use super::{
    call::Call,
    metrics::ForwardMetrics,
    request_log::{RequestEnd, RequestLog},
};
use cassiagw_core::{
    forwarding::{Fault, Picked, Refusal, RetryDecision},
    ids::EndpointId,
};
use std::{
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Decisions of one request that are kept; later ones are only counted.
const MAX_DECISIONS: usize = 48;

/// A decision about a request, with what decided it.
#[derive(Clone, Debug)]
pub enum Decision {
    /// No endpoint had room, so it began to wait at the daemon.
    Queued {
        /// Requests that waited there.
        ahead: usize,
    },
    /// It would have waited longer than its caller.
    NoRoomInTime {
        /// Requests that waited there.
        ahead: usize,
        /// When there will be room.
        wait: Duration,
    },
    /// An endpoint was chosen.
    Placed(Box<Picked>),
    /// Parts of its prompt are fetched or saved.
    PartsMoved {
        /// Parts that the engine fetches.
        fetched: usize,
        /// Parts that it saves.
        saved: usize,
    },
    /// A sending failed.
    Failed {
        /// Endpoint.
        endpoint: EndpointId,
        /// How.
        fault: Fault,
        /// What followed.
        next: RetryDecision,
    },
}

/// A decision and when it was made, counted from the request's arrival.
#[derive(Clone, Debug)]
pub struct Decided {
    /// When.
    pub at: Duration,
    /// What.
    pub decision: Decision,
}

/// Times of an answer as the caller gets it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTimes {
    /// Time from the request's arrival to the first bytes.
    pub first: Option<Duration>,
    /// Longest time between two reads after that.
    pub longest_pause: Duration,
    /// Time from the request's arrival to the last bytes so far.
    last: Duration,
}

/// What is to be told of one request once it ends: its decisions and the times of its answer.
pub struct RequestRecord {
    log: Arc<RequestLog>,
    metrics: Arc<ForwardMetrics>,
    arrival: Instant,
    told: Mutex<Told>,
}

#[derive(Default)]
struct Told {
    decisions: Vec<Decided>,
    times: AnswerTimes,
    is_ended: bool,
}

impl RequestRecord {
    /// Starts the record of a request.
    pub fn new(log: Arc<RequestLog>, metrics: Arc<ForwardMetrics>, arrival: Instant) -> Self {
        Self { log, metrics, arrival, told: Mutex::default() }
    }

    /// Keeps a decision.
    pub fn decided(&self, decision: Decision) {
        let at = self.arrival.elapsed();
        let mut told = self.told();
        if told.decisions.len() < MAX_DECISIONS {
            told.decisions.push(Decided { at, decision });
        }
    }

    /// Takes note that bytes of the answer went to the caller; says whether they are the first.
    pub fn answered_bytes(&self) -> bool {
        let at = self.arrival.elapsed();
        let mut told = self.told();
        let times = &mut told.times;
        let is_first = times.first.is_none();
        match is_first {
            true => times.first = Some(at),
            false => times.longest_pause = times.longest_pause.max(at.saturating_sub(times.last)),
        }
        times.last = at;
        is_first
    }

    /// Whether bytes of the answer went to the caller.
    pub fn has_answered(&self) -> bool {
        self.told().times.first.is_some()
    }

    /// Writes the lines of a request that has ended, once.
    pub fn end(&self, call: &Call, end: &RequestEnd<'_>) {
        let (decisions, times) = {
            let mut told = self.told();
            if told.is_ended {
                return;
            }
            told.is_ended = true;
            (mem::take(&mut told.decisions), told.times)
        };
        self.metrics.count_request(call.route.kind, end.outcome);
        self.log.write(call, end, &decisions, times);
    }

    /// Whether its lines were written.
    pub fn is_ended(&self) -> bool {
        self.told().is_ended
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Decision {
    /// Writes its line.
    pub fn write(&self, id: &str, at: Duration) {
        let at_ms = at.as_millis() as u64;
        match self {
            Self::Queued { ahead } => log::info!(event = "request_queued", id, at_ms, ahead; ""),
            Self::NoRoomInTime { ahead, wait } => {
                let wait_ms = wait.as_millis() as u64;
                log::info!(event = "request_no_room", id, at_ms, ahead, wait_ms; "");
            }
            Self::Placed(picked) => write_placed(picked, id, at_ms),
            Self::PartsMoved { fetched, saved } => {
                log::info!(event = "request_parts", id, at_ms, fetched, saved; "");
            }
            Self::Failed { endpoint, fault, next } => log::info!(
                event = "request_attempt_failed", id, at_ms, endpoint:% = endpoint,
                fault = fault.name(), proof = fault.execution_state().name(), next = next_name(*next); ""
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
        reported_requests:% = or_none(report.map(|report| report.requests)),
        report_age_ms:% = or_none(report.map(|report| report.age.as_millis())),
        failure_rate:% = format_args!("{:.2}", inputs.failure_rate), cold = inputs.is_cold,
        weights:% = or_none(picked.version); ""
    );
}

/// Text of a value that may be missing.
pub fn or_none(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}

/// Name of what follows a failed sending.
pub fn next_name(next: RetryDecision) -> &'static str {
    match next {
        RetryDecision::RetryElsewhere => "sent_elsewhere",
        RetryDecision::Refuse(Refusal::NotRun) => "told_not_run",
        RetryDecision::Refuse(Refusal::Unknown) => "told_unknown",
        RetryDecision::Refuse(Refusal::TimedOut) => "told_timed_out",
    }
}

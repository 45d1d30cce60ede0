use super::{
    call::Call,
    metrics::ForwardMetrics,
    request_record::{ResponseTimes, TimedDecision, display_or_none},
};
use cassiagw_core::{
    forwarding::{Framing, LogSampler, LogSamplerLimits},
    ids::stable_hash,
};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Rate limits for log lines about requests, in lines per second.
const LIMITS: LogSamplerLimits = LogSamplerLimits { sample_above: 40, max: 200, sample_one_in: 16 };

/// Result of a request.
#[derive(Clone, Debug)]
pub struct RequestEnd<'a> {
    /// Outcome, as written to the log and the metrics.
    pub outcome: &'static str,
    /// HTTP status sent to the caller, 0 if the caller disconnected or the daemon stopped first.
    pub status: u16,
    /// Cause of the outcome, a word or a short phrase.
    pub cause: &'a str,
    /// Endpoint whose response was forwarded, or the last one tried for a stream that was cut.
    /// `None` if no endpoint's response reached the caller or the request was abandoned.
    pub endpoint: Option<&'a str>,
    /// How the end of the endpoint's answer was marked. `None` without an answer of an endpoint.
    pub framing: Option<Framing>,
    /// Failed attempts, formatted as `endpoint:fault`.
    pub faults: &'a [String],
}

impl RequestEnd<'_> {
    fn is_success(&self) -> bool {
        self.status < 400 && self.faults.is_empty() && self.outcome == "answered"
    }
}

/// Writes rate-limited log lines about requests. Lines of successful requests are sampled first.
#[derive(Debug)]
pub struct RequestLog {
    sampler: Mutex<LogSampler>,
    metrics: Arc<ForwardMetrics>,
}

impl RequestLog {
    /// Creates the log with its rate limit starting at `now`.
    pub fn new(now: Instant, metrics: Arc<ForwardMetrics>) -> Self {
        Self { sampler: Mutex::new(LogSampler::new(now, LIMITS)), metrics }
    }

    /// Writes the lines of a finished request: its decisions in order, then the result.
    pub fn write(
        &self,
        call: &Call,
        end: &RequestEnd<'_>,
        decisions: &[TimedDecision],
        times: ResponseTimes,
    ) {
        let id = &*call.head.id;
        let is_late = times.first.is_some_and(|first| first > call.route.target_latency)
            || call.route.max_pause.is_some_and(|pause| times.longest_pause > pause);
        let is_success = end.is_success() && !is_late;
        if !self.admits(id, is_success, decisions.len() as u32 + 1) {
            return;
        }
        decisions.iter().for_each(|timed| timed.decision.write(id, timed.at));
        if !end.faults.is_empty() {
            write_prompt(call);
        }
        let millis = |time: Duration| time.as_millis() as u64;
        log::info!(
            event = "request", id, at_ms = millis(call.arrival.elapsed()), outcome = end.outcome,
            status = end.status, cause:% = end.cause, late = is_late,
            first_ms:% = display_or_none(times.first.map(millis)), longest_pause_ms = millis(times.longest_pause),
            target_ms = millis(call.route.target_latency), left_ms = millis(call.time_left()),
            route:% = call.route.name, kind = call.route.kind.name(),
            service:% = call.service.name, endpoint = end.endpoint.unwrap_or("none"),
            framing = end.framing.map_or("none", Framing::name),
            faults:% = end.faults.join(","), settings = call.settings.version; ""
        );
    }

    /// Writes the line of a request that was refused before it matched a route.
    pub fn write_refusal(&self, id: &str, status: u16, cause: &str) {
        if self.admits(id, false, 1) {
            log::info!(event = "request", id, outcome = "refused", status, cause; "");
        }
    }

    /// Whether the rate limit admits the lines of a request. Reports previously dropped lines
    /// first.
    fn admits(&self, id: &str, is_success: bool, lines: u32) -> bool {
        let hash = stable_hash(id.as_bytes());
        let mut sampler = self.sampler.lock().unwrap_or_else(PoisonError::into_inner);
        let is_admitted = sampler.admit(Instant::now(), hash, is_success, lines);
        let dropped = sampler.take_dropped();
        drop(sampler);
        if dropped > 0 {
            self.metrics.count_dropped_lines(dropped);
            log::warn!(event = "request_lines_dropped", count = dropped; "");
        }
        is_admitted
    }
}

/// Writes what the prompt of a failed request consists of, so that failures can be compared by it:
/// the identifiers of its parts, never its text.
fn write_prompt(call: &Call) {
    let Some(prompt) = &call.head.prompt else { return };
    let ids: Vec<&str> = prompt.parts.iter().map(|part| &*part.id).collect();
    log::info!(
        event = "request_prompt", id = &*call.head.id,
        workspace = call.owner.as_ref().map_or("none", |owner| &*owner.workspace),
        model:% = prompt.model, parts:% = ids.join(","); ""
    );
}

use super::call::Call;
use cassiagw_core::ids::stable_hash;
use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Lines about requests a second, above which those of successes are thinned.
const LINES_PER_S: u32 = 40;
/// Lines a second at most; lines of failures are dropped and counted above it.
const MAX_LINES_PER_S: u32 = 200;
/// Successes of which one is kept while there are many, chosen by a hash of the request's id.
const KEPT_OF: u64 = 16;

/// How a request ended.
#[derive(Clone, Debug)]
pub struct RequestEnd<'a> {
    /// Name of the outcome.
    pub outcome: &'static str,
    /// Status that the caller got.
    pub status: u16,
    /// Why, in a word or a sentence.
    pub cause: &'a str,
    /// Endpoint that answered or was tried last.
    pub endpoint: Option<&'a str>,
    /// Sendings that failed, as `endpoint:fault`.
    pub faults: &'a [String],
}

impl RequestEnd<'_> {
    fn is_good(&self) -> bool {
        self.status < 400 && self.faults.is_empty() && self.outcome == "answered"
    }
}

#[derive(Debug)]
struct Second {
    start: Instant,
    lines: u32,
    dropped: u64,
}

/// Writes a line about each request, bounded in rate: good ones are thinned first.
#[derive(Debug)]
pub struct RequestLog {
    second: Mutex<Second>,
}

impl RequestLog {
    /// Starts counting.
    pub fn new(now: Instant) -> Self {
        Self { second: Mutex::new(Second { start: now, lines: 0, dropped: 0 }) }
    }

    /// Writes the line of a request that ended.
    pub fn write(&self, call: &Call, settings_version: u64, end: &RequestEnd<'_>) {
        if !self.admits(&call.head.id, end) {
            return;
        }
        log::info!(
            event = "request", id:% = call.head.id, outcome = end.outcome, status = end.status,
            cause:% = end.cause, route:% = call.route.name, kind = call.route.kind.name(),
            service:% = call.service.name, endpoint = end.endpoint.unwrap_or("none"),
            faults:% = end.faults.join(","),
            ms = call.arrival.elapsed().as_millis() as u64,
            left_ms = call.deadline.saturating_duration_since(Instant::now()).as_millis() as u64,
            settings = settings_version; ""
        );
    }

    /// Writes the line of a request that was refused before a route was known.
    pub fn write_early(&self, id: &str, status: u16, cause: &str) {
        let end = RequestEnd { outcome: "refused", status, cause, endpoint: None, faults: &[] };
        if self.admits(id, &end) {
            log::info!(event = "request", id, outcome = "refused", status, cause; "");
        }
    }

    fn admits(&self, id: &str, end: &RequestEnd<'_>) -> bool {
        let now = Instant::now();
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        if now >= second.start + Duration::from_secs(1) {
            if second.dropped > 0 {
                log::warn!(event = "request_lines_dropped", count = second.dropped; "");
            }
            *second = Second { start: now, lines: 0, dropped: 0 };
        }
        let limit = if end.is_good() { LINES_PER_S } else { MAX_LINES_PER_S };
        let is_sampled = stable_hash(id.as_bytes()).is_multiple_of(KEPT_OF);
        let is_admitted = second.lines < limit || (is_sampled && second.lines < MAX_LINES_PER_S);
        match is_admitted {
            true => second.lines += 1,
            false if !end.is_good() => second.dropped += 1,
            false => {}
        }
        is_admitted
    }
}

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of buckets the window is divided into.
const SPANS_PER_WINDOW: u32 = 20;

/// Percentage of the shared budget that is used; the rest covers the delay with which daemons count
/// each other.
const USED_PERCENT: f64 = 90.0;

/// Limits the retries for a service in a sliding window; each daemon uses its share of a common
/// budget.
///
/// The share is a fraction of the daemon's own requests plus an equal part of the slack.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    ratio: f64,
    slack: f64,
    span: Duration,
    spans: VecDeque<Span>,
}

#[derive(Clone, Copy, Debug)]
struct Span {
    start: Instant,
    requests: u32,
    repeats: u32,
}

impl RepeatBudget {
    /// Creates a budget with this daemon's part of the slack, in retries per window.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self { ratio, slack, span: window / SPANS_PER_WINDOW, spans: VecDeque::new() }
    }

    /// Sets this daemon's part of the slack, for example when the number of daemons changes.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts a request of a caller, which raises the allowance.
    pub fn on_request(&mut self, now: Instant) {
        self.span_at(now).requests += 1;
    }

    /// Consumes one retry; returns false, consuming nothing, if the share is exhausted.
    pub fn take(&mut self, now: Instant) -> bool {
        let has_room = self.has_room(now);
        if has_room {
            self.span_at(now).repeats += 1;
        }
        has_room
    }

    /// Whether a retry is allowed now.
    pub fn has_room(&mut self, now: Instant) -> bool {
        self.span_at(now);
        let requests: u32 = self.spans.iter().map(|span| span.requests).sum();
        let repeats: u32 = self.spans.iter().map(|span| span.repeats).sum();
        let allowed = (self.ratio * f64::from(requests) + self.slack) * USED_PERCENT / 100.0;
        f64::from(repeats + 1) <= allowed
    }

    fn span_at(&mut self, now: Instant) -> &mut Span {
        let window = self.span * SPANS_PER_WINDOW;
        while self.spans.front().is_some_and(|span| now >= span.start + window) {
            self.spans.pop_front();
        }
        let is_current = self.spans.back().is_some_and(|span| now < span.start + self.span);
        if !is_current {
            self.spans.push_back(Span { start: now, requests: 0, repeats: 0 });
        }
        self.spans.back_mut().expect("a span was pushed if there was none")
    }
}

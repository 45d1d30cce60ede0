use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Spans into which the window is divided.
const SPANS_PER_WINDOW: u32 = 20;

/// Part of the shared budget that is used, in percent; the rest covers daemons that count each
/// other late.
const USED_PERCENT: f64 = 90.0;

/// Bounds the repeats for one service in a sliding window, as one daemon's part of a budget that
/// all daemons share.
///
/// A part is the ratio of this daemon's own requests plus an equal part of the slack.
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
    /// Makes a budget with this daemon's part of the slack.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self { ratio, slack, span: window / SPANS_PER_WINDOW, spans: VecDeque::new() }
    }

    /// Sets this daemon's part of the slack.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Instant) {
        self.span_at(now).requests += 1;
    }

    /// Takes one repeat; false if this daemon's part is used up.
    pub fn take(&mut self, now: Instant) -> bool {
        let has_room = self.has_room(now);
        if has_room {
            self.span_at(now).repeats += 1;
        }
        has_room
    }

    /// Whether a repeat could be taken.
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

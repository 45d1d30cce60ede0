use std::time::{Duration, Instant};

/// Shortest time between two reports.
const INTERVAL: Duration = Duration::from_secs(60);

/// What happened to a caller because of the memory limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PressureEvent {
    /// A request was refused since there was no memory for its body.
    BodyRefused,
    /// A request was refused since there was no memory for its answer.
    AnswerRefused,
    /// A body stopped arriving.
    BodyStalled,
    /// A connection was closed since its caller reads slowly.
    ReaderClosed,
}

/// Numbers of events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PressureCounts {
    /// Requests refused for their bodies.
    pub bodies_refused: u64,
    /// Requests refused for their answers.
    pub answers_refused: u64,
    /// Bodies that stopped arriving.
    pub bodies_stalled: u64,
    /// Connections of slow readers that were closed.
    pub readers_closed: u64,
}

/// Counts events, and reports them at most once a minute.
#[derive(Clone, Debug, Default)]
pub struct PressureLog {
    total: PressureCounts,
    unreported: PressureCounts,
    reported_at: Option<Instant>,
}

impl PressureLog {
    /// Counts since the start.
    pub fn total(&self) -> PressureCounts {
        self.total
    }

    /// Records an event. Returns what happened since the last report if another one is due.
    pub fn on_event(&mut self, now: Instant, event: PressureEvent) -> Option<PressureCounts> {
        self.total.add(event);
        self.unreported.add(event);
        let is_due = self.reported_at.is_none_or(|at| now >= at + INTERVAL);
        is_due.then(|| {
            self.reported_at = Some(now);
            std::mem::take(&mut self.unreported)
        })
    }
}

impl PressureCounts {
    fn add(&mut self, event: PressureEvent) {
        *match event {
            PressureEvent::BodyRefused => &mut self.bodies_refused,
            PressureEvent::AnswerRefused => &mut self.answers_refused,
            PressureEvent::BodyStalled => &mut self.bodies_stalled,
            PressureEvent::ReaderClosed => &mut self.readers_closed,
        } += 1;
    }
}

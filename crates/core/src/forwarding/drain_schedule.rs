use std::time::{Duration, Instant};

/// Part of the grace period reserved for the end of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time before that in which the last answers reach their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Minimum time in which the last answers are written. A process that was not scheduled may notice
/// only when its end is due that answers were due.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(50);

/// What a daemon that was asked to stop still does with requests.
///
/// Answers a load in which callers that do not know of the stop yet send requests late in the grace
/// period, and others run longer than it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    answer_by: Instant,
}

impl DrainSchedule {
    /// Creates the schedule of a daemon that was asked to stop at `stopped_at`.
    pub fn new(stopped_at: Instant, grace: Duration) -> Self {
        Self { answer_by: stopped_at + grace.saturating_sub(EXIT_MARGIN + ANSWER_MARGIN) }
    }

    /// When all requests must have been answered, if only by telling that they may have run.
    pub fn answer_by(&self) -> Instant {
        self.answer_by
    }

    /// When the process ends, if it noticed at `noticed_at` that the answers were due.
    pub fn end_at(&self, noticed_at: Instant) -> Instant {
        (self.answer_by + ANSWER_MARGIN).max(noticed_at + MIN_ANSWER_TIME)
    }

    /// Whether a request that comes now is taken: it is if an answer within its target latency comes
    /// early enough.
    pub fn takes(&self, now: Instant, target_latency: Duration) -> bool {
        now + target_latency <= self.answer_by
    }
}

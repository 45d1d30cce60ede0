use std::{
    ops::Range,
    time::{Duration, Instant},
};

/// Time from the first data of an answer until its run has survived.
const SURVIVAL_TIME: Duration = Duration::from_millis(300);

/// What a complete answer shows of its run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Nothing that was not known before.
    Known,
    /// The run has survived.
    Survived,
    /// The answer was short: the run has survived if its endpoint lives for all of that time.
    Open(Range<Instant>),
}

/// Whether a run has survived the start of its answer, and so did not crash its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunSurvival {
    has_begun: bool,
    first_data_at: Option<Instant>,
    has_survived: bool,
}

impl RunSurvival {
    /// Records the head of the answer.
    pub fn on_head(&mut self) {
        self.has_begun = true;
    }

    /// Records data of the answer; true if the run has now survived.
    pub fn on_data(&mut self, now: Instant) -> bool {
        let first = *self.first_data_at.get_or_insert(now);
        let is_new = !self.has_survived && now >= first + SURVIVAL_TIME;
        self.has_survived |= is_new;
        is_new
    }

    /// Records the end of a complete answer.
    pub fn on_complete(&mut self, now: Instant) -> Completion {
        let Some(first) = self.first_data_at.filter(|_| !self.has_survived) else {
            return Completion::Known;
        };
        match self.on_data(now) {
            true => Completion::Survived,
            false => Completion::Open(first..first + SURVIVAL_TIME),
        }
    }

    /// Whether the endpoint has begun its answer.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Whether the run has survived.
    pub fn has_survived(&self) -> bool {
        self.has_survived
    }
}

//! How long work takes at an endpoint, as its answers say.

use std::{
    ops::RangeInclusive,
    time::{Duration, Instant},
};

/// Figures outside these bounds are errors: no host that still serves changes by as much.
const VALID_PERCENT: RangeInclusive<f64> = 10.0..=1_000.0;
/// Smallest factor in a cost, which bounds the load that an endpoint can attract by its own figures.
const MIN_FACTOR: f64 = 0.5;
/// Largest factor in a cost, so that an endpoint that calls itself slow still gets some requests.
const MAX_FACTOR: f64 = 4.0;
/// Age at which a sample says nothing more, since the figure changes several times a second.
const MAX_AGE: Duration = Duration::from_millis(200);

/// Time that work takes at an endpoint, relative to its usual time, from one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkTime {
    factor: f64,
}

impl WorkTime {
    /// Converts a percentage of the usual time; `None` for one that no host can mean.
    pub fn from_percent(percent: f64) -> Option<Self> {
        VALID_PERCENT.contains(&percent).then_some(Self { factor: percent / 1e2 })
    }
}

/// Last figure of an endpoint, for logs and the state dump.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkTimeSample {
    /// Percentage of the usual time, as the endpoint reported it.
    pub percent: f64,
    /// Age of the figure.
    pub age: Duration,
}

/// Estimate of the time that work takes at an endpoint, relative to its usual time.
///
/// It is the last sample, and returns to the usual time with the age of the sample. An endpoint
/// without samples takes the usual time.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkTimeEstimate {
    last: Option<(Instant, WorkTime)>,
}

impl WorkTimeEstimate {
    /// Adds a sample of the time `at`; one that is older than the known one is ignored.
    pub fn add_sample(&mut self, at: Instant, sample: WorkTime) {
        if self.last.is_none_or(|(known, _)| at >= known) {
            self.last = Some((at, sample));
        }
    }

    /// Factor on the cost of work at the endpoint: 1.0 for the usual time, larger for a slow host.
    pub fn factor(&self, now: Instant) -> f64 {
        let Some((at, sample)) = self.last else { return 1.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let freshness = (1.0 - age / MAX_AGE.as_secs_f64()).max(0.0);
        1.0 + (sample.factor.clamp(MIN_FACTOR, MAX_FACTOR) - 1.0) * freshness
    }

    /// Whether there ever was a sample.
    pub fn is_reported(&self) -> bool {
        self.last.is_some()
    }

    /// The last sample while it counts.
    pub fn sample(&self, now: Instant) -> Option<WorkTimeSample> {
        let (at, sample) = self.last?;
        let age = now.saturating_duration_since(at);
        (age < MAX_AGE).then_some(WorkTimeSample { percent: sample.factor * 1e2, age })
    }
}

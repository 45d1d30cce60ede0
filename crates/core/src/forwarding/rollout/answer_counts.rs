use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of classes of times to first byte; the last one has no upper bound.
pub(super) const TIME_CLASSES: usize = 24;
/// Upper bound of the first class, in milliseconds.
const FIRST_CLASS_MS: f64 = 2.0;

/// Answers of one side (old versions or target) on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    bad: u64,
    /// Good answers by class of the time to first byte, each class half as long again as the one
    /// before; trailing classes without answers are left out.
    good: Vec<u32>,
}

impl VersionCounts {
    /// Counts a good answer.
    pub fn add_good(&mut self, first_byte: Duration) {
        let class = time_class(first_byte);
        if self.good.len() <= class {
            self.good.resize(class + 1, 0);
        }
        self.good[class] = self.good[class].saturating_add(1);
    }

    /// Counts a bad answer.
    pub fn add_bad(&mut self) {
        self.bad = self.bad.saturating_add(1);
    }

    /// Number of answers.
    pub fn answers(&self) -> u64 {
        self.bad.saturating_add(self.good())
    }

    /// Number of bad answers.
    pub fn bad(&self) -> u64 {
        self.bad
    }

    /// Number of good answers, slow ones included.
    pub fn good(&self) -> u64 {
        self.good.iter().map(|&n| u64::from(n)).sum()
    }

    /// Upper bound of a quantile of the time to first byte of good answers.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        self.quantile_class(quantile).map(class_bound)
    }

    /// Class in which a quantile of the time to first byte lies.
    pub(super) fn quantile_class(&self, quantile: f64) -> Option<usize> {
        let wanted = (self.good() as f64 * quantile).ceil().max(1.0) as u64;
        let mut count = 0;
        self.good.iter().position(|&n| {
            count += u64::from(n);
            count >= wanted
        })
    }

    /// Number of good answers in a class or a later one.
    pub(super) fn good_from(&self, class: usize) -> u64 {
        self.good.iter().skip(class).map(|&n| u64::from(n)).sum()
    }

    /// Adds the answers that `after` has beyond `before`, of which it is a later state.
    pub(super) fn add_growth(&mut self, before: &Self, after: &Self) {
        self.bad = self.bad.saturating_add(after.bad.saturating_sub(before.bad));
        let classes = after.good.len().min(TIME_CLASSES);
        if self.good.len() < classes {
            self.good.resize(classes, 0);
        }
        for (class, count) in self.good.iter_mut().enumerate().take(classes) {
            let earlier = before.good.get(class).copied().unwrap_or(0);
            *count = count.saturating_add(after.good[class].saturating_sub(earlier));
        }
    }
}

fn time_class(time: Duration) -> usize {
    let ratio = time.as_secs_f64() * 1_000.0 / FIRST_CLASS_MS;
    let class = (ratio.max(1.0).ln() / 1.5f64.ln()).ceil() as usize;
    class.min(TIME_CLASSES - 1)
}

fn class_bound(class: usize) -> Duration {
    Duration::from_secs_f64(FIRST_CLASS_MS / 1_000.0 * 1.5f64.powi(class as i32))
}

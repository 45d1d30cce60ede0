use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of classes of times to first byte: up to about 38 s, and one for all longer ones.
const TIME_CLASSES: usize = 28;
/// Upper bound of the first class, in milliseconds.
const FIRST_CLASS_MS: f64 = 1.0;
/// Ratio of the upper bounds of neighbouring classes.
const CLASS_RATIO: f64 = 1.5;

/// Answers of one side (old versions or target) on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    bad: u64,
    cut: u64,
    /// Good answers by class of the time to first byte, each class half as long again as the one
    /// before; trailing classes without answers are left out.
    good: Vec<u32>,
}

impl VersionCounts {
    /// Counts a good answer.
    pub fn add_good(&mut self, first_byte: Duration) {
        let class = time_class(first_byte);
        self.reserve_classes(class + 1);
        self.good[class] = self.good[class].saturating_add(1);
    }

    /// Counts a bad answer.
    pub fn add_bad(&mut self) {
        self.bad = self.bad.saturating_add(1);
    }

    /// Counts an answer that was cut by a crash or a broken connection.
    pub fn add_cut(&mut self) {
        self.cut = self.cut.saturating_add(1);
    }

    /// Number of answers.
    pub fn answers(&self) -> u64 {
        self.failed().saturating_add(self.good())
    }

    /// Number of answers that were bad or cut.
    pub fn failed(&self) -> u64 {
        self.bad.saturating_add(self.cut)
    }

    /// Number of bad answers that were not cut.
    pub fn bad(&self) -> u64 {
        self.bad
    }

    /// Number of answers that were cut.
    pub fn cut(&self) -> u64 {
        self.cut
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

    /// Counts added since `before`.
    pub(super) fn growth_since(&self, before: &Self) -> Self {
        let classes = self.good.iter().take(TIME_CLASSES).enumerate();
        let grown = |(class, &n): (usize, &u32)| {
            n.saturating_sub(before.good.get(class).copied().unwrap_or(0))
        };
        Self {
            bad: self.bad.saturating_sub(before.bad),
            cut: self.cut.saturating_sub(before.cut),
            good: classes.map(grown).collect(),
        }
    }

    /// Adds other answers.
    pub(super) fn add(&mut self, other: &Self) {
        self.bad = self.bad.saturating_add(other.bad);
        self.cut = self.cut.saturating_add(other.cut);
        self.reserve_classes(other.good.len());
        for (count, &n) in self.good.iter_mut().zip(&other.good) {
            *count = count.saturating_add(n);
        }
    }

    /// Keeps at most a number of the cut answers.
    pub(super) fn limit_cut(&mut self, max: u64) {
        self.cut = self.cut.min(max);
    }

    fn reserve_classes(&mut self, classes: usize) {
        if self.good.len() < classes {
            self.good.resize(classes.min(TIME_CLASSES), 0);
        }
    }
}

/// Class of a time to first byte.
pub(super) fn time_class(time: Duration) -> usize {
    let ratio = time.as_secs_f64() * 1_000.0 / FIRST_CLASS_MS;
    let class = (ratio.max(1.0).ln() / CLASS_RATIO.ln()).ceil() as usize;
    class.min(TIME_CLASSES - 1)
}

fn class_bound(class: usize) -> Duration {
    Duration::from_secs_f64(FIRST_CLASS_MS / 1_000.0 * CLASS_RATIO.powi(class as i32))
}

use super::VersionCounts;
use std::{
    ops::AddAssign,
    time::{Duration, Instant},
};

/// Evidence from which on the target is bad, in nats. Versions that are equal ever reach it with a
/// probability below 2 in 10,000 for each ratio of odds and route.
pub(super) const BAD_EVIDENCE: f64 = 9.0;
/// Evidence from which on the target shows signs of being bad.
pub(super) const SUSPICIOUS_EVIDENCE: f64 = 4.5;
/// Evidence up to which the old versions may be closed without waiting for more.
pub(super) const DOUBTFUL_EVIDENCE: f64 = 2.5;
/// Least number of failed answers for a verdict.
const MIN_FAILED: f64 = 5.0;
/// Least number of slow answers for a verdict.
const MIN_SLOW: f64 = 6.0;
/// Least number of failed answers for a sign.
const MIN_SIGN: f64 = 3.0;
/// Least number of failed answers for a verdict without answers of the old versions at the time.
const MIN_FAILED_ALONE: f64 = 10.0;
/// Least number of windows with failed answers for such a verdict, so that one moment does not give
/// it.
const MIN_WINDOWS_ALONE: u32 = 2;
/// Number of bad answers below which the target must also be worse by `MIN_EXCESS` of its answers.
const FEW_BAD: f64 = 20.0;
const MIN_EXCESS: f64 = 0.01;
/// Ratios of the odds of a bad answer, target to old versions, that bad versions are tested for.
/// Below the smallest, versions count as equal.
const BAD_ODDS: [f64; 3] = [2.5, 8.0, 30.0];
/// Least duration of a window, and number of answers of the old versions in it.
const WINDOW: Duration = Duration::from_secs(1);
const WINDOW_ANSWERS: u64 = 10;
/// Number of answers of the target in a window in which the old versions have too few.
const WINDOW_ANSWERS_ALONE: u64 = 20;
/// Largest duration of a window.
const MAX_WINDOW: Duration = Duration::from_secs(5);
/// Share of a window's answers from which on the target has too little to be compared with.
const ALONE_SHARE: f64 = 0.8;
/// Classes between the old versions' 95th percentile and a slow answer: about three times as late.
const SLOW_CLASSES: usize = 3;
/// Good answers needed for a high percentile, and for a median.
const PERCENTILE_ANSWERS: u64 = 20;
const MEDIAN_ANSWERS: u64 = 8;
/// Failure share that is always tolerated while there are no old answers to compare with.
const TOLERATED_ALONE: f64 = 0.015;

/// Bad answers of both sides in comparable windows.
///
/// For each ratio of odds, the sum of the log-likelihood ratios of which side a bad answer came from,
/// given the shares of the sides in its window. It is a sequential test: under equal versions, the
/// probability that the sum ever exceeds x is below exp(-x), however often it is looked at.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Tally {
    /// Bad answers of the target.
    observed: f64,
    /// Those that it would have if all versions were equal.
    expected: f64,
    /// Answers of the target.
    answers: f64,
    /// Sums over the bad answers of the target, by ratio.
    against: [f64; BAD_ODDS.len()],
    /// Sums over the bad answers of the old versions, by ratio.
    in_favour: [f64; BAD_ODDS.len()],
}

/// Comparison of the target with the old versions on one route.
///
/// Answers are compared within short windows, so that a fault or a slow phase that hits all versions
/// at the same time is no evidence, however the shares of the versions change over time.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionComparison {
    pub(super) old: VersionCounts,
    pub(super) new: VersionCounts,
    window: Option<Window>,
    failed: Tally,
    slow: Tally,
    old_slow: u64,
    new_slow: u64,
    alone: Alone,
}

#[derive(Clone, Debug)]
struct Window {
    since: Instant,
    old: VersionCounts,
    new: VersionCounts,
}

/// Answers of the target in windows in which the old versions had too few.
#[derive(Clone, Copy, Debug, Default)]
struct Alone {
    answers: f64,
    failed: f64,
    /// Number of windows with failed answers.
    failed_windows: u32,
}

/// Failed and slow answers of a route, with the open window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RouteTallies {
    pub(super) failed: Tally,
    pub(super) slow: Tally,
}

impl Tally {
    /// Compares `new` bad answers of `new_answers` with `old` ones of `old_answers`.
    fn compare(new: u64, new_answers: u64, old: u64, old_answers: u64) -> Self {
        let answers = new_answers + old_answers;
        if answers == 0 {
            return Self::default();
        }
        let share = new_answers as f64 / answers as f64;
        let (new, old) = (new as f64, old as f64);
        let norm = |odds: f64| (odds * share + 1.0 - share).ln();
        Self {
            observed: new,
            expected: (new + old) * share,
            answers: new_answers as f64,
            against: BAD_ODDS.map(|odds| new * (odds.ln() - norm(odds))),
            in_favour: BAD_ODDS.map(|odds| old * norm(odds)),
        }
    }

    /// Evidence that the target is worse, counting a part of its bad answers.
    fn evidence(&self, part: f64, min_observed: f64) -> f64 {
        let observed = self.observed * part;
        let is_excess_small = observed - self.expected < MIN_EXCESS * self.answers;
        if observed < min_observed || observed < FEW_BAD && is_excess_small {
            return 0.0;
        }
        let sums = self.against.iter().zip(&self.in_favour);
        sums.map(|(against, in_favour)| against * part - in_favour).fold(0.0, f64::max)
    }

    /// Evidence from failed answers.
    pub(super) fn failed_evidence(&self) -> f64 {
        self.evidence(1.0, MIN_FAILED)
    }

    /// Sign of failed answers, also of fewer than a verdict needs.
    pub(super) fn failed_sign(&self) -> f64 {
        self.evidence(1.0, MIN_SIGN)
    }

    /// Evidence from slow answers, of which a part is not due to a single host.
    pub(super) fn slow_evidence(&self, part: f64) -> f64 {
        self.evidence(part, MIN_SLOW)
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.observed += other.observed;
        self.expected += other.expected;
        self.answers += other.answers;
        for index in 0..BAD_ODDS.len() {
            self.against[index] += other.against[index];
            self.in_favour[index] += other.in_favour[index];
        }
    }
}

impl VersionComparison {
    /// Counts answers of both sides.
    pub(super) fn add(&mut self, now: Instant, old: &VersionCounts, new: &VersionCounts) {
        self.close_window(now);
        self.old.add(old);
        self.new.add(new);
        let window = self.window.get_or_insert_with(|| Window::new(now));
        window.old.add(old);
        window.new.add(new);
    }

    /// Tallies of all windows, the open one included.
    pub(super) fn tallies(&self) -> RouteTallies {
        let mut tallies = RouteTallies { failed: self.failed, slow: self.slow };
        if let Some(window) = &self.window {
            tallies.failed += window.failed();
            tallies.slow += self.slow_in(window).0;
        }
        tallies
    }

    /// Slow answers of the old versions and of the target.
    pub(super) fn slow_answers(&self) -> (u64, u64) {
        let open = self.window.as_ref().map(|window| self.slow_in(window));
        let (_, old, new) = open.unwrap_or_default();
        (self.old_slow + old, self.new_slow + new)
    }

    /// Evidence of times without answers of the old versions, by comparison with earlier times.
    pub(super) fn alone_evidence(&self) -> f64 {
        let Alone { answers, failed, failed_windows } = self.alone;
        if failed < MIN_FAILED_ALONE || failed_windows < MIN_WINDOWS_ALONE {
            return 0.0;
        }
        let old = (self.old.failed() + 1) as f64 / (self.old.answers() + 20) as f64;
        let tolerated = (2.0 * old).max(TOLERATED_ALONE) * answers;
        if failed <= tolerated {
            return 0.0;
        }
        // Log-likelihood ratio of the failures against the tolerated number, both Poisson.
        failed * (failed / tolerated).ln() - (failed - tolerated)
    }

    /// Whether the target is several times slower than the old versions in general, not only in
    /// single answers.
    pub(super) fn is_slower_overall(&self) -> bool {
        if self.new.good() < MEDIAN_ANSWERS || self.old.good() < PERCENTILE_ANSWERS {
            return false;
        }
        let median = self.new.quantile_class(0.5).zip(self.old.quantile_class(0.5));
        let is_later = median.is_some_and(|(new, old)| new >= old + SLOW_CLASSES);
        let beyond = self.old.quantile_class(0.95).map_or(0, |p95| self.new.good_from(p95 + 1));
        is_later && 2 * beyond > self.new.good()
    }

    /// First class of slow answers, by the old versions' answers at the time.
    pub(super) fn slow_class(&self) -> Option<usize> {
        let p95 = |counts: &VersionCounts| {
            let has_enough = counts.good() >= PERCENTILE_ANSWERS;
            if has_enough { counts.quantile_class(0.95) } else { None }
        };
        let now = self.window.as_ref().and_then(|window| p95(&window.old));
        Some(now.max(p95(&self.old))? + SLOW_CLASSES)
    }

    fn slow_in(&self, window: &Window) -> (Tally, u64, u64) {
        let Some(class) = self.slow_class() else { return Default::default() };
        let (old, new) = (window.old.good_from(class), window.new.good_from(class));
        (Tally::compare(new, window.new.good(), old, window.old.good()), old, new)
    }

    fn close_window(&mut self, now: Instant) {
        let is_over = |window: &Window| {
            let age = now.saturating_duration_since(window.since);
            let has_old = window.old.answers() >= WINDOW_ANSWERS;
            let has_new = window.new.answers() >= WINDOW_ANSWERS_ALONE;
            age >= MAX_WINDOW || age >= WINDOW && has_old || age >= WINDOW / 2 && has_new
        };
        let Some(window) = self.window.take_if(|window| is_over(window)) else { return };
        // The percentile of the window itself counts, so it is read while the window is open.
        self.window = Some(window.clone());
        let (slow, old_slow, new_slow) = self.slow_in(&window);
        self.window = None;
        self.failed += window.failed();
        self.slow += slow;
        self.old_slow += old_slow;
        self.new_slow += new_slow;
        self.alone.add(&window);
    }
}

impl Window {
    fn new(since: Instant) -> Self {
        Self { since, old: VersionCounts::default(), new: VersionCounts::default() }
    }

    fn failed(&self) -> Tally {
        Tally::compare(self.new.failed(), self.new.answers(), self.old.failed(), self.old.answers())
    }
}

impl Alone {
    /// Adds a window. Cut answers don't count, since endpoints of all versions may crash for a common
    /// reason, and there is none to compare with.
    fn add(&mut self, window: &Window) {
        let (new, old) = (window.new.answers() as f64, window.old.answers() as f64);
        if new < ALONE_SHARE * (new + old) {
            return;
        }
        self.answers += new;
        self.failed += window.new.bad() as f64;
        self.failed_windows += u32::from(window.new.bad() > 0);
    }
}

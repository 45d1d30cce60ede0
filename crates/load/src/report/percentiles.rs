use hdrhistogram::Histogram;
use std::time::Duration;

/// Highest trackable time, in microseconds; longer times are recorded as this value.
const MAX_TRACKABLE_US: u64 = 120_000_000;
/// Number of significant decimal digits kept by the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of a set of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Percentiles {
    /// Number of recorded durations.
    pub count: u64,
    /// Median.
    pub p50: Duration,
    /// 95th percentile.
    pub p95: Duration,
}

impl Percentiles {
    /// Computes the percentiles of durations; all fields are zero if there are none.
    pub fn of(times: impl Iterator<Item = Duration>) -> Self {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, MAX_TRACKABLE_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid");
        times.for_each(|time| histogram.saturating_record(time.as_micros() as u64));
        let at = |quantile| Duration::from_micros(histogram.value_at_quantile(quantile));
        if histogram.is_empty() {
            return Self::default();
        }
        Self { count: histogram.len(), p50: at(0.5), p95: at(0.95) }
    }
}

/// Ratio of two durations; `None` if the second one is zero.
pub fn ratio(numerator: Duration, denominator: Duration) -> Option<f64> {
    (!denominator.is_zero()).then(|| numerator.as_secs_f64() / denominator.as_secs_f64())
}

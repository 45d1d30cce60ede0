use hdrhistogram::Histogram;
use std::time::Duration;

/// Longest time that is told apart, in microseconds.
const MAX_TIME_US: u64 = 120_000_000;
/// Significant digits of a time.
const DIGITS: u8 = 3;

/// Percentiles of some times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Percentiles {
    /// Number of times.
    pub count: u64,
    /// Half of the times are at most this.
    pub p50: Duration,
    /// 95 in 100 are at most this.
    pub p95: Duration,
}

impl Percentiles {
    /// Percentiles of some times; all zero if there are none.
    pub fn of(times: impl Iterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, DIGITS)
            .expect("the bounds are valid");
        times.for_each(|time| histogram.saturating_record(time.as_micros() as u64));
        let at = |quantile| Duration::from_micros(histogram.value_at_quantile(quantile));
        if histogram.is_empty() {
            return Self::default();
        }
        Self { count: histogram.len(), p50: at(0.5), p95: at(0.95) }
    }
}

/// Quotient of two times; none if the second one is zero.
pub fn ratio(above: Duration, below: Duration) -> Option<f64> {
    (!below.is_zero()).then(|| above.as_secs_f64() / below.as_secs_f64())
}

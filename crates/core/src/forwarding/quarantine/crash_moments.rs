use std::time::{Duration, Instant};

/// Length of the moment that begins with a crash. Endpoints that fail in it may have a cause in common
/// that is no request, for example their host.
const MOMENT: Duration = Duration::from_millis(50);

/// Groups crashes by the moments at which they happened. `at` returns the time of a crash.
pub fn crash_moments<T>(mut crashes: Vec<T>, at: impl Fn(&T) -> Instant) -> Vec<Vec<T>> {
    crashes.sort_by_key(&at);
    let mut moments: Vec<Vec<T>> = Vec::new();
    for crash in crashes {
        match moments.last_mut().filter(|moment| at(&crash) < at(&moment[0]) + MOMENT) {
            Some(moment) => moment.push(crash),
            None => moments.push(vec![crash]),
        }
    }
    moments
}

/// Whether two times are so near that they may be of one moment.
pub fn is_near(a: Instant, b: Instant) -> bool {
    a < b + MOMENT && b < a + MOMENT
}

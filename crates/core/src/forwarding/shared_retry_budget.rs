use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of buckets the window is divided into.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Percentage of the shared budget that is used; the rest covers the delay with which daemons count
/// each other.
const USED_PERCENT: f64 = 90.0;

/// Limits the retries for a service in a sliding window; each daemon uses its share of a common
/// budget.
///
/// The share is a fraction of the daemon's own requests plus an equal part of the slack.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    ratio: f64,
    slack: f64,
    bucket_length: Duration,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
}

impl SharedRetryBudget {
    /// Creates a budget with this daemon's part of the slack, in retries per window.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self { ratio, slack, bucket_length: window / BUCKETS_PER_WINDOW, buckets: VecDeque::new() }
    }

    /// Sets this daemon's part of the slack, for example when the number of daemons changes.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts a request of a caller, which raises the allowance.
    pub fn on_request(&mut self, now: Instant) {
        self.bucket_at(now).requests += 1;
    }

    /// Consumes one retry; returns false, consuming nothing, if the share is exhausted.
    pub fn take(&mut self, now: Instant) -> bool {
        let is_allowed = self.is_allowed(now);
        if is_allowed {
            self.bucket_at(now).retries += 1;
        }
        is_allowed
    }

    /// Whether a retry is allowed now.
    pub fn is_allowed(&mut self, now: Instant) -> bool {
        self.bucket_at(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = (self.ratio * f64::from(requests) + self.slack) * USED_PERCENT / 100.0;
        f64::from(retries + 1) <= allowed
    }

    fn bucket_at(&mut self, now: Instant) -> &mut Bucket {
        let window = self.bucket_length * BUCKETS_PER_WINDOW;
        while self.buckets.front().is_some_and(|bucket| now >= bucket.start + window) {
            self.buckets.pop_front();
        }
        let is_current =
            self.buckets.back().is_some_and(|bucket| now < bucket.start + self.bucket_length);
        if !is_current {
            self.buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("the deque holds the bucket of `now`")
    }
}

use super::{config::Faults, error::KvError};
use crate::server::{Admission, RateLimit};
use serde::{Deserialize, Serialize};
use std::{sync::Mutex, time::Duration};
use tokio::time::{Instant, sleep};

/// Class of a call for rate limits and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallClass {
    /// A call that may change keys, compacts the history, or grants or revokes a lease.
    Write,
    /// A call that only reads, or renews a lease.
    Read,
    /// A response on a watch; it counts against the read limit but is never refused.
    WatchResponse,
}

/// Counters of the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Admitted calls that may write.
    pub writes: u64,
    /// Admitted calls that only read, and lease renewals.
    pub reads: u64,
    /// Responses sent on watches.
    pub watch_answers: u64,
    /// Calls refused by a rate limit.
    pub refused: u64,
    /// Total size of the request bodies received, refused calls included, in bytes.
    pub request_bytes: u64,
    /// Size of the largest request body so far, in bytes.
    pub longest_request_bytes: u64,
    /// Watches currently open.
    pub open_watches: u64,
    /// Revision of the last change.
    pub revision: i64,
}

/// Rate limits and counters of the store.
#[derive(Debug)]
pub struct RateLimiter {
    buckets: Mutex<Buckets>,
}

#[derive(Debug)]
struct Buckets {
    writes: RateLimit,
    reads: RateLimit,
    records: Records,
}

impl RateLimiter {
    /// Creates full token buckets and zeroed counters.
    pub fn new() -> Self {
        let full = RateLimit::new(Instant::now());
        let buckets = Buckets { writes: full, reads: full, records: Records::default() };
        Self { buckets: Mutex::new(buckets) }
    }

    /// Counts a call and waits until the rate limit admits it.
    ///
    /// # Errors
    /// The wait would exceed `rate_wait_ms`.
    pub async fn admit(&self, class: CallClass, faults: &Faults) -> Result<(), KvError> {
        match self.take(class, faults) {
            Admission::After(wait) if wait.is_zero() => Ok(()),
            Admission::After(wait) => {
                sleep(wait).await;
                Ok(())
            }
            Admission::Refused => Err(KvError::TooManyRequests),
        }
    }

    /// Gives `visit` exclusive access to the counters.
    pub fn with_records<T>(&self, visit: impl FnOnce(&mut Records) -> T) -> T {
        visit(&mut self.buckets.lock().expect("no thread panics while counting").records)
    }

    fn take(&self, class: CallClass, faults: &Faults) -> Admission {
        let mut buckets = self.buckets.lock().expect("no thread panics while counting");
        let now = Instant::now();
        let max_wait = Duration::from_millis(faults.rate_wait_ms);
        let admission = match (class, faults.writes_per_s, faults.reads_per_s) {
            (CallClass::Write, Some(rate), _) => buckets.writes.take(now, rate, max_wait),
            (CallClass::Read, _, Some(rate)) => buckets.reads.take(now, rate, max_wait),
            (CallClass::WatchResponse, _, Some(rate)) => {
                buckets.reads.take(now, rate, Duration::MAX)
            }
            _ => Admission::After(Duration::ZERO),
        };
        let records = &mut buckets.records;
        match (admission, class) {
            (Admission::Refused, _) => records.refused += 1,
            (_, CallClass::Write) => records.writes += 1,
            (_, CallClass::Read) => records.reads += 1,
            (_, CallClass::WatchResponse) => records.watch_answers += 1,
        }
        admission
    }
}

use super::WatchPace;
use std::time::Duration;

/// Minimum pause between two watches, in which changes are coalesced.
const COALESCE_PAUSE: Duration = Duration::from_millis(10);
/// The same per watching daemon, the larger of both applies: each change wakes all daemons, which
/// share the store's read rate limit.
const COALESCE_PAUSE_PER_DAEMON: Duration = Duration::from_millis(2);
/// The pause of a daemon that hears of changes from another one. It bounds the delay of a change if
/// that one fails.
const RELAXED_PAUSE: Duration = Duration::from_secs(1);
/// Pause after a failed call, and base of the backoff after rate limiting.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Upper bound on the backoff after rate limiting, before jitter.
const MAX_RATE_LIMITED_PAUSE: Duration = Duration::from_millis(1_600);

/// Store call that keeps a daemon's view of the keys up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreCall {
    /// Reads all keys as of up to a few seconds ago; does not count against the store's rate limit.
    ReadAllStale,
    /// Reads all keys at the current revision.
    ReadAll,
    /// Requests the changes since a stale read, without waiting for new ones.
    CatchUp,
    /// Waits for changes.
    Watch,
}

impl StoreCall {
    /// Value in log records and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::ReadAllStale => "read_all_stale",
            Self::ReadAll => "read_all",
            Self::CatchUp => "catch_up",
            Self::Watch => "watch",
        }
    }
}

/// Result of a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The call succeeded.
    Answered,
    /// The store's history does not reach back to the requested revision.
    HistoryGone,
    /// The rate limit shared by all daemons was exceeded; the call had no effect.
    RateLimited,
    /// The store returned an error or did not answer.
    Failed,
}

/// Selects the next store call and the pause before it, so that any number of daemons that start at
/// once or are notified of many changes stay within the store's rate limit.
#[derive(Clone, Debug)]
pub struct StoreCallScheduler {
    next: StoreCall,
    /// Consecutive rate-limited calls.
    rate_limited_calls: u32,
}

impl Default for StoreCallScheduler {
    fn default() -> Self {
        Self { next: StoreCall::ReadAllStale, rate_limited_calls: 0 }
    }
}

impl StoreCallScheduler {
    /// The call to make next.
    pub fn next(&self) -> StoreCall {
        self.next
    }

    /// Records the result of a call and returns the pause before the next one.
    ///
    /// The store's rate limit is shared by `daemons`; `jitter`, 0 to 1, varies the backoff so that
    /// they do not act in lockstep.
    pub fn on_outcome(
        &mut self,
        outcome: StoreOutcome,
        daemons: usize,
        pace: WatchPace,
        jitter: f64,
    ) -> Duration {
        self.rate_limited_calls = match outcome {
            StoreOutcome::RateLimited => self.rate_limited_calls + 1,
            _ => 0,
        };
        match outcome {
            StoreOutcome::Answered => {
                let is_stale = self.next == StoreCall::ReadAllStale;
                self.next = if is_stale { StoreCall::CatchUp } else { StoreCall::Watch };
                match pace {
                    _ if is_stale => Duration::ZERO,
                    WatchPace::Prompt | WatchPace::PromptForZone => coalesce_pause(daemons),
                    WatchPace::Relaxed => RELAXED_PAUSE,
                }
            }
            StoreOutcome::HistoryGone => {
                self.next = StoreCall::ReadAll;
                Duration::ZERO
            }
            StoreOutcome::RateLimited => {
                // The view stays complete up to its revision, so nothing has to be read again.
                let doubled =
                    RETRY_PAUSE * 2_u32.saturating_pow(self.rate_limited_calls.min(8) - 1);
                doubled.min(MAX_RATE_LIMITED_PAUSE).mul_f64(0.5 + jitter)
            }
            StoreOutcome::Failed => {
                // Leases may have expired while the store was unavailable.
                if self.next == StoreCall::Watch {
                    self.next = StoreCall::ReadAll;
                }
                RETRY_PAUSE
            }
        }
    }
}

fn coalesce_pause(daemons: usize) -> Duration {
    COALESCE_PAUSE.max(COALESCE_PAUSE_PER_DAEMON * u32::try_from(daemons).unwrap_or(u32::MAX))
}

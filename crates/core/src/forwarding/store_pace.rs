use std::time::Duration;

/// Pause between two watches, in which changes gather.
const GATHER: Duration = Duration::from_millis(10);
/// The same for each daemon that watches: a change wakes all of them, and all share the store's
/// rate of reads.
const GATHER_PER_DAEMON: Duration = Duration::from_millis(2);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after refusals for the store's rate.
const MAX_REFUSED_PAUSE: Duration = Duration::from_millis(1_600);

/// Call of the store that keeps a daemon's view of its keys up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreCall {
    /// Reads every key as it was up to seconds ago, which takes nothing from the store's rate.
    ReadAllStale,
    /// Reads every key as it is.
    ReadAll,
    /// Asks for what changed since a stale read, without waiting.
    CatchUp,
    /// Waits for changes.
    Watch,
}

impl StoreCall {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ReadAllStale => "read_all_stale",
            Self::ReadAll => "read_all",
            Self::CatchUp => "catch_up",
            Self::Watch => "watch",
        }
    }
}

/// How a call of the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// It was answered.
    Answered,
    /// The store keeps no history that reaches back far enough.
    HistoryGone,
    /// The rate that all daemons share was used up; nothing was done.
    RateLimited,
    /// The store refused or did not answer.
    Failed,
}

/// Decides which call of the store is next and after which pause, so that any number of daemons
/// that start at once or hear of many changes stay within the store's rate.
#[derive(Clone, Debug)]
pub struct StorePace {
    next: StoreCall,
    /// Refusals for the rate in a row.
    refusals: u32,
}

impl Default for StorePace {
    fn default() -> Self {
        Self { next: StoreCall::ReadAllStale, refusals: 0 }
    }
}

impl StorePace {
    /// Next call.
    pub fn next(&self) -> StoreCall {
        self.next
    }

    /// Takes the outcome of the call and gives the pause before the next.
    ///
    /// `daemons` share the store's rate; `spread` from 0 to 1 keeps them from acting in step.
    pub fn on_outcome(&mut self, outcome: StoreOutcome, daemons: usize, spread: f64) -> Duration {
        self.refusals = match outcome {
            StoreOutcome::RateLimited => self.refusals + 1,
            _ => 0,
        };
        match outcome {
            StoreOutcome::Answered => {
                let is_stale = self.next == StoreCall::ReadAllStale;
                self.next = if is_stale { StoreCall::CatchUp } else { StoreCall::Watch };
                if is_stale { Duration::ZERO } else { gather(daemons) }
            }
            StoreOutcome::HistoryGone => {
                self.next = StoreCall::ReadAll;
                Duration::ZERO
            }
            StoreOutcome::RateLimited => {
                // What was read stays complete up to its revision, so nothing is read again.
                let doubled = RETRY_PAUSE * 2_u32.saturating_pow(self.refusals.min(8) - 1);
                doubled.min(MAX_REFUSED_PAUSE).mul_f64(0.5 + spread)
            }
            StoreOutcome::Failed => {
                // Keys may have lapsed while the store was away.
                if self.next == StoreCall::Watch {
                    self.next = StoreCall::ReadAll;
                }
                RETRY_PAUSE
            }
        }
    }
}

fn gather(daemons: usize) -> Duration {
    GATHER.max(GATHER_PER_DAEMON * u32::try_from(daemons).unwrap_or(u32::MAX))
}

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

/// Reading rate that is reckoned with at least, so that every wait is finite.
const MIN_TOKENS_PER_MS: f64 = 0.001;

/// Number of a waiting request at one daemon.
pub type WaiterId = u64;

/// A request that waits for room at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Number.
    pub id: WaiterId,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// When its work must begin for the answer to be of full use.
    pub begin_by: Instant,
    /// When its work must begin for the answer to be of any use.
    pub deadline: Instant,
    /// Work that it brings, in prompt tokens.
    pub work_tokens: u64,
}

/// Requests that wait for room at a service of engines, for loads near and above what these read.
///
/// Requests that can still be answered in time go first, by rank and then by time;
/// the late ones get what is left, by the earliest deadline. A request that cannot be answered
/// before its deadline is not taken in.
#[derive(Clone, Debug, Default)]
pub struct CallQueue {
    waiters: Vec<Waiter>,
}

impl CallQueue {
    /// Whether a request that arrives now can begin before its deadline, at `tokens_per_ms` of all
    /// endpoints together and after the requests that go first.
    pub fn can_serve(&self, now: Instant, waiter: &Waiter, tokens_per_ms: f64) -> bool {
        now + self.wait(now, waiter, tokens_per_ms) < waiter.deadline
    }

    /// Time until a request begins.
    pub fn wait(&self, now: Instant, waiter: &Waiter, tokens_per_ms: f64) -> Duration {
        let ahead = self
            .waiters
            .iter()
            .filter(|other| other.id != waiter.id && order(now, other) <= order(now, waiter));
        let tokens: u64 = ahead.map(|other| other.work_tokens).sum();
        let ms = tokens as f64 / tokens_per_ms.max(MIN_TOKENS_PER_MS);
        Duration::from_secs_f64((ms / 1e3).min(1e6))
    }

    /// Takes a request in.
    pub fn push(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
    }

    /// Takes a request out, such as when its caller has left.
    pub fn remove(&mut self, id: WaiterId) {
        self.waiters.retain(|waiter| waiter.id != id);
    }

    /// Requests in the order in which they are to be served.
    pub fn in_order(&mut self, now: Instant) -> Vec<WaiterId> {
        self.waiters.sort_by_key(|waiter| order(now, waiter));
        self.waiters.iter().map(|waiter| waiter.id).collect()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}

/// Order of requests: in time before late, then by rank and time.
fn order(now: Instant, waiter: &Waiter) -> (bool, u8, Instant, Reverse<u64>) {
    let is_late = now >= waiter.begin_by;
    let due = if is_late { waiter.deadline } else { waiter.begin_by };
    (is_late, waiter.rank, due, Reverse(waiter.work_tokens))
}

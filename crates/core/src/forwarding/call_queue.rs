use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

/// Lower bound on the prefill rate used in estimates, so that every wait is finite.
const MIN_TOKENS_PER_MS: f64 = 0.001;

/// Identifier of a queued request, unique within one daemon.
pub type WaiterId = u64;

/// A request queued until an endpoint has capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Identifier by which the request is removed again.
    pub id: WaiterId,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Latest start that still meets the target latency.
    pub start_by: Instant,
    /// Latest start at which the answer is still useful; the request is rejected after it.
    pub deadline: Instant,
    /// Estimated work of the request, in prompt tokens.
    pub work_tokens: u64,
}

/// Queue of requests for a service of model engines, for load near or above its capacity.
///
/// Requests that can still meet their target latency are served first, by priority and then by
/// [`start_by`](Waiter::start_by). Late requests follow, by priority and then by deadline. A request
/// whose estimated start is past its deadline is not to be admitted.
#[derive(Clone, Debug, Default)]
pub struct CallQueue {
    waiters: Vec<Waiter>,
}

impl CallQueue {
    /// Whether a request arriving now is expected to start before its deadline, given the combined
    /// prefill rate `tokens_per_ms` of all endpoints and the requests ahead of it.
    pub fn can_serve(&self, now: Instant, waiter: &Waiter, tokens_per_ms: f64) -> bool {
        now + self.wait(now, waiter, tokens_per_ms) < waiter.deadline
    }

    /// Estimated time until a request starts, from the work queued ahead of it.
    pub fn wait(&self, now: Instant, waiter: &Waiter, tokens_per_ms: f64) -> Duration {
        let ahead = self
            .waiters
            .iter()
            .filter(|other| other.id != waiter.id && sort_key(now, other) <= sort_key(now, waiter));
        let tokens: u64 = ahead.map(|other| other.work_tokens).sum();
        let ms = tokens as f64 / tokens_per_ms.max(MIN_TOKENS_PER_MS);
        Duration::from_secs_f64((ms / 1e3).min(1e6))
    }

    /// Adds a request without checking whether it can be served in time; see
    /// [`can_serve`](Self::can_serve).
    pub fn push(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
    }

    /// Removes a request, for example when its caller disconnects; unknown identifiers are ignored.
    pub fn remove(&mut self, id: WaiterId) {
        self.waiters.retain(|waiter| waiter.id != id);
    }

    /// Identifiers of the queued requests in serving order.
    pub fn serving_order(&mut self, now: Instant) -> Vec<WaiterId> {
        self.waiters.sort_by_key(|waiter| sort_key(now, waiter));
        self.waiters.iter().map(|waiter| waiter.id).collect()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}

/// Sort key: on time before late, then priority, then due time; of two equal ones the request with
/// more work goes first.
fn sort_key(now: Instant, waiter: &Waiter) -> (bool, u8, Instant, Reverse<u64>) {
    let is_late = now >= waiter.start_by;
    let due = if is_late { waiter.deadline } else { waiter.start_by };
    (is_late, waiter.priority, due, Reverse(waiter.work_tokens))
}

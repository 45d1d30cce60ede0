use super::Fault;
use std::time::{Duration, Instant};

/// Weight of the latest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.3;
/// Half-life of the failure rate while an endpoint receives no requests.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Failure rate above which an endpoint is put in backoff.
const BACKOFF_ABOVE: f64 = 0.6;
/// First backoff of a failing endpoint; each consecutive one doubles it.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// Upper bound on the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Maximum number of doublings, which keeps the multiplication from overflowing; [`MAX_BACKOFF`] is
/// reached before.
const MAX_DOUBLINGS: u32 = 6;

/// Health of an endpoint, derived from request outcomes: a circuit breaker with exponential
/// backoff.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    failure_rate: f64,
    failure_rate_at: Instant,
    consecutive_backoffs: u32,
    backoff_until: Instant,
    /// Half-open: one request at a time is sent until one succeeds.
    is_half_open: bool,
    answered_at: Option<Instant>,
}

impl EndpointHealth {
    /// Creates a healthy state without any outcome.
    pub fn new(now: Instant) -> Self {
        Self {
            failure_rate: 0.0,
            failure_rate_at: now,
            consecutive_backoffs: 0,
            backoff_until: now,
            is_half_open: false,
            answered_at: None,
        }
    }

    /// Moving average of failures, 0 to 1, decaying while no requests are sent.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        let age = now.saturating_duration_since(self.failure_rate_at);
        self.failure_rate * 0.5f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// End of the current backoff; in the past if there is none.
    pub fn backoff_until(&self) -> Instant {
        self.backoff_until
    }

    /// Whether the endpoint is in backoff because of failures rather than on request.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.consecutive_backoffs > 0 && now < self.backoff_until
    }

    /// Whether the endpoint has failed and should receive one request at a time until one succeeds.
    pub fn is_half_open(&self) -> bool {
        self.is_half_open
    }

    /// Whether any request has been answered at or after `since`.
    pub fn has_answered_since(&self, since: Instant) -> bool {
        self.answered_at.is_some_and(|at| at >= since)
    }

    /// Records an answer, which closes the circuit breaker and resets the backoff.
    pub fn on_answer(&mut self, now: Instant) {
        self.record(now, 0.0);
        self.is_half_open = false;
        self.consecutive_backoffs = 0;
        self.answered_at = Some(now);
    }

    /// Records a fault that counts against the endpoint; one by which the endpoint cannot be reached
    /// starts a backoff at once.
    pub fn on_fault(&mut self, now: Instant, fault: Fault) {
        self.record(now, 1.0);
        if fault.is_unreachable() || self.is_half_open || self.failure_rate > BACKOFF_ABOVE {
            let backoff = (FIRST_BACKOFF * 2u32.pow(self.consecutive_backoffs.min(MAX_DOUBLINGS)))
                .min(MAX_BACKOFF);
            self.consecutive_backoffs += 1;
            self.is_half_open = true;
            self.back_off(now + backoff);
        }
    }

    /// Starts a backoff until `until`, or extends the current one; it never shortens one.
    pub fn back_off(&mut self, until: Instant) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Ends a backoff that was requested; one caused by failures stays.
    pub fn end_requested_backoff(&mut self, now: Instant) {
        if self.consecutive_backoffs == 0 {
            self.backoff_until = now;
        }
    }

    fn record(&mut self, now: Instant, failure: f64) {
        let known = self.failure_rate(now);
        self.failure_rate = known * (1.0 - FAILURE_WEIGHT) + failure * FAILURE_WEIGHT;
        self.failure_rate_at = now;
    }
}

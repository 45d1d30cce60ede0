use super::Fault;
use std::time::{Duration, Instant};

/// Share of the newest outcome in an endpoint's failure rate.
const FAILURE_WEIGHT: f64 = 0.3;
/// Time in which the failure rate of an endpoint that gets nothing falls to half.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Failure rate above which an endpoint is rested.
const REST_ABOVE: f64 = 0.6;
/// First rest of an endpoint that fails; it doubles with each further one.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Longest rest.
const MAX_REST: Duration = Duration::from_secs(8);
/// Doublings of the rest at most.
const MAX_DOUBLINGS: u32 = 6;

/// What the outcomes of requests say of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    failure_rate: f64,
    failure_rate_at: Instant,
    rests: u32,
    rest_until: Instant,
    /// One request at a time until one succeeds.
    is_on_trial: bool,
    answered_at: Option<Instant>,
}

impl EndpointHealth {
    /// Starts without any outcome.
    pub fn new(now: Instant) -> Self {
        Self {
            failure_rate: 0.0,
            failure_rate_at: now,
            rests: 0,
            rest_until: now,
            is_on_trial: false,
            answered_at: None,
        }
    }

    /// Share of requests that failed of late; it fades while nothing is sent.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failure_rate_at);
        self.failure_rate * 0.5f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Time until which it should get nothing.
    pub fn rest_until(&self) -> Instant {
        self.rest_until
    }

    /// Whether it rests since it failed, and not on demand.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.rests > 0 && now < self.rest_until
    }

    /// Whether it has failed and should get one request at a time.
    pub fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    /// Whether any request was answered since a time.
    pub fn has_answered_since(&self, since: Instant) -> bool {
        self.answered_at.is_some_and(|at| at >= since)
    }

    /// Takes note of an answer.
    pub fn on_answer(&mut self, now: Instant) {
        self.note(now, 0.0);
        self.is_on_trial = false;
        self.rests = 0;
        self.answered_at = Some(now);
    }

    /// Takes note of a fault that speaks against the endpoint.
    pub fn on_fault(&mut self, now: Instant, fault: Fault) {
        self.note(now, 1.0);
        let is_dead = fault == Fault::ConnectFailed;
        if is_dead || self.is_on_trial || self.failure_rate > REST_ABOVE {
            let rest = (FIRST_REST * 2u32.pow(self.rests.min(MAX_DOUBLINGS))).min(MAX_REST);
            self.rests += 1;
            self.is_on_trial = true;
            self.rest(now + rest);
        }
    }

    /// Keeps requests away until a time.
    pub fn rest(&mut self, until: Instant) {
        self.rest_until = self.rest_until.max(until);
    }

    /// Ends a rest that was asked for, but not that of an endpoint that fails.
    pub fn wake(&mut self, now: Instant) {
        if self.rests == 0 {
            self.rest_until = now;
        }
    }

    fn note(&mut self, now: Instant, failure: f64) {
        let known = self.failure_rate(now);
        self.failure_rate = known * (1.0 - FAILURE_WEIGHT) + failure * FAILURE_WEIGHT;
        self.failure_rate_at = now;
    }
}

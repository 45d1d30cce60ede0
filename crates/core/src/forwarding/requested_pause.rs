use std::time::{Duration, Instant};

/// Longest pause that is kept, whatever an endpoint asks for.
const MAX_PAUSE: Duration = Duration::from_secs(600);
/// Part of a pause, as a divisor, over which the daemons' first requests after it are spread.
const SPREAD_DIVISOR: u32 = 4;
/// Upper bound on that spread.
const MAX_SPREAD: Duration = Duration::from_millis(500);
/// Time for which nothing else is sent after the first request, unless it is answered earlier.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Calls that are no requests of callers, such as reports and orders, in one pause.
const MAX_CONTROL_CALLS: u32 = 2;
/// Longest `Retry-After`, as a divisor of the caller's time left; callers ignore longer ones.
const RETRY_AFTER_DIVISOR: u32 = 3;
/// Part of a wait, as a divisor, over which the returns of refused callers are spread.
const RETURN_SPREAD_DIVISOR: u32 = 4;

/// A time for which an endpoint wants no requests of this daemon, and how requests begin again after
/// it: one at a time until one is answered, not by all daemons at once.
///
/// Answers a load in which an endpoint turns requests away and says for how long.
#[derive(Clone, Copy, Debug)]
pub struct RequestedPause {
    until: Instant,
    opens_at: Instant,
    trial_at: Option<Instant>,
    control_calls: u32,
}

impl RequestedPause {
    /// Creates a pause of `time` from now. `turn` is the turn of this daemon among all, from 0 to
    /// below 1.
    pub fn new(now: Instant, time: Duration, turn: f64) -> Self {
        let time = time.min(MAX_PAUSE);
        let spread = (time / SPREAD_DIVISOR).min(MAX_SPREAD).mul_f64(turn.clamp(0.0, 1.0));
        let until = now + time;
        Self { until, opens_at: until + spread, trial_at: None, control_calls: 0 }
    }

    /// End of the pause that the endpoint asked for.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Whether nothing may be sent because of the pause itself.
    pub fn is_closed(&self, now: Instant) -> bool {
        now < self.opens_at
    }

    /// Time until a request may be sent; zero if one may be sent now.
    pub fn wait(&self, now: Instant) -> Duration {
        let trial_ends = self.trial_at.map_or(self.opens_at, |at| at + TRIAL_TIME);
        self.opens_at.max(trial_ends).saturating_duration_since(now)
    }

    /// Records that a request was sent, which is a trial after the pause.
    pub fn on_sent(&mut self, now: Instant) {
        if !self.is_closed(now) {
            self.trial_at = Some(now);
        }
    }

    /// Takes one of the few calls other than requests that may be made in the pause; false if there
    /// is none left.
    pub fn take_control_call(&mut self, now: Instant) -> bool {
        if !self.is_closed(now) {
            return true;
        }
        let may_call = self.control_calls < MAX_CONTROL_CALLS;
        self.control_calls += u32::from(may_call);
        may_call
    }
}

/// `Retry-After` for a caller with `time_left`, if all endpoints are in a pause that ends after
/// `wait`. `hash`, evenly distributed over requests, spreads the callers' returns.
pub fn pause_retry_after(wait: Duration, time_left: Duration, hash: u64) -> Duration {
    let share = hash as f64 / u64::MAX as f64;
    let spread = (wait / RETURN_SPREAD_DIVISOR).mul_f64(share);
    (wait + spread).min(time_left / RETRY_AFTER_DIVISOR)
}

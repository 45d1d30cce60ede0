use super::{SharedRate, TokenBucket};
use crate::ids::EndpointId;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Span over which the requests to a limited endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that a limited endpoint may get in the window, as a multiple of what its limit allows.
const TOLERATED_RATIO: f64 = 1.5;
/// Requests that it may get in the window on top of that multiple.
const TOLERATED_SLACK: f64 = 5.0;
/// Lower bound on a limit, in requests per second: without any request, nobody would learn that it
/// has ended.
const MIN_PER_S: f64 = 0.125;
/// Time for which the other daemons are told of what an endpoint said.
const TELL_FOR: Duration = Duration::from_secs(1);

/// What an endpoint said of its limit, as one daemon tells it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its process start, in Unix milliseconds.
    pub boot: Option<u64>,
    /// Requests a second that it takes from all daemons together; `None` if it advertises no limit.
    pub per_s: Option<f64>,
    /// Time since it said so.
    pub age: Duration,
}

/// Limit that an endpoint advertises on the requests that it takes from all daemons together, and this
/// daemon's use of its share. It holds until the endpoint says something else.
///
/// Answers a load in which an endpoint that is overloaded takes fewer requests than the daemons have for it.
#[derive(Clone, Debug)]
pub struct AdvertisedLimit {
    per_s: Option<f64>,
    said_at: Instant,
    /// When the endpoint said it to this daemon; `None` if only others were told.
    heard_at: Option<Instant>,
    bucket: TokenBucket,
}

impl AdvertisedLimit {
    /// Creates the state of an endpoint that said at `said_at` that it takes `per_s` requests a
    /// second. `is_own` tells whether it said so to this daemon.
    pub fn new(now: Instant, said_at: Instant, per_s: Option<f64>, is_own: bool) -> Self {
        let heard_at = is_own.then_some(said_at);
        Self { per_s, said_at, heard_at, bucket: TokenBucket::new(now) }
    }

    /// Records what the endpoint said at `said_at`; what it said before that is ignored. Returns
    /// whether the limit has changed.
    pub fn on_statement(&mut self, said_at: Instant, per_s: Option<f64>, is_own: bool) -> bool {
        if said_at < self.said_at {
            return false;
        }
        let is_changed = self.per_s != per_s;
        self.said_at = said_at;
        self.per_s = per_s;
        if is_own {
            self.heard_at = Some(said_at);
        }
        is_changed
    }

    /// Requests a second that the endpoint takes from all daemons together; `None` if it advertises no
    /// limit now.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Rate at which the daemon with a rank may send, in requests per second; `None` if there is no
    /// limit.
    pub fn share(&self, daemons: usize, rank: usize) -> Option<f64> {
        Some(shared_rate(self.per_s?).share(daemons, rank))
    }

    /// Whether a request may be sent now with a share of `per_s` requests per second.
    pub fn may_send(&self, now: Instant, share: f64) -> bool {
        self.bucket.may_send(now, share)
    }

    /// Counts a request that was sent.
    pub fn on_sent(&mut self, now: Instant, share: f64) {
        self.bucket.on_sent(now, share);
    }

    /// Time until a request may be sent; `None` if this daemon has no share.
    pub fn wait(&self, now: Instant, share: f64) -> Option<Duration> {
        self.bucket.wait(now, share)
    }

    /// Time since the endpoint said this to this daemon, if the others are still to be told.
    pub fn untold_age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.heard_at?);
        (age < TELL_FOR && self.heard_at == Some(self.said_at)).then_some(age)
    }
}

fn shared_rate(per_s: f64) -> SharedRate {
    let per_s = per_s.max(MIN_PER_S);
    let max_in_window = TOLERATED_RATIO * per_s * WINDOW.as_secs_f64() + TOLERATED_SLACK;
    SharedRate { per_s, window: WINDOW, max_in_window }
}

use std::time::{Duration, Instant};

/// Time for which an endpoint may register again after the store has come back.
const GRACE: Duration = Duration::from_millis(2_100);
/// Shortest lease: after less time without an answer, none can have expired unnoticed.
const MIN_LEASE: Duration = Duration::from_secs(1);

/// Tells whether an endpoint's entry that vanishes may only have lapsed, since the store was away and
/// the endpoint could not renew its lease.
#[derive(Clone, Debug)]
pub struct EntryLapses {
    started_at: Instant,
    answered_at: Option<Instant>,
    is_connected: bool,
    grace_until: Instant,
}

impl EntryLapses {
    /// Creates the state of a process that has not reached the store yet.
    pub fn new(now: Instant) -> Self {
        Self { started_at: now, answered_at: None, is_connected: false, grace_until: now }
    }

    /// Records an answer of the store. The first one after a longer silence starts the grace period.
    pub fn on_answer(&mut self, now: Instant) {
        let silent_since = self.answered_at.unwrap_or(self.started_at);
        if !self.is_connected && now >= silent_since + MIN_LEASE {
            self.grace_until = now + GRACE;
        }
        self.is_connected = true;
        self.answered_at = Some(now);
    }

    /// Records that a call to the store failed.
    pub fn on_failure(&mut self) {
        self.is_connected = false;
    }

    /// Records that the store came back from a copy, in which entries of living endpoints may be
    /// missing.
    pub fn on_restored(&mut self, now: Instant) {
        self.grace_until = now + GRACE;
    }

    /// Records that the host was frozen, so that the time since the last answer is not known.
    pub fn on_freeze(&mut self) {
        self.answered_at = None;
    }

    /// Whether an entry that vanishes now may be written again.
    pub fn may_have_lapsed(&self, now: Instant) -> bool {
        !self.is_connected || now < self.grace_until
    }

    /// When an entry that vanishes now is to be given up.
    pub fn give_up_at(now: Instant) -> Instant {
        now + GRACE
    }
}

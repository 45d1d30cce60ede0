use std::time::{Duration, Instant};

/// Time after the return of the store within which a living endpoint has registered again.
const GRACE: Duration = Duration::from_millis(2_100);
/// Shortest lease: in a shorter silence of the store none can have expired unnoticed.
const MIN_LEASE: Duration = Duration::from_secs(1);
/// Margin before the end of the time for which an endpoint that left still serves, for a request
/// to reach it.
const SEND_MARGIN: Duration = Duration::from_millis(300);

/// Decides how long an endpoint whose entry vanishes is still used: its lease may only have expired
/// while the store was away and the endpoint could not renew it.
///
/// The time to register again runs from the return of the store. A single failed call is no outage.
/// An entry that vanishes while the store answers has probably been removed, so its endpoint is not
/// used for longer than one that leaves still serves.
#[derive(Clone, Debug)]
pub struct EntryLapses {
    has_answered: bool,
    /// Since when the store may not have answered; `None` while it answers.
    silent_since: Option<Instant>,
    /// Whether the silence may be longer than measured, since the host was frozen.
    may_be_longer: bool,
    grace_until: Instant,
}

impl EntryLapses {
    /// Creates the state of a process that has not reached the store yet.
    pub fn new(now: Instant) -> Self {
        Self { has_answered: false, silent_since: None, may_be_longer: false, grace_until: now }
    }

    /// Records an answer of the store. The first one after an outage starts the grace period.
    pub fn on_answer(&mut self, now: Instant) {
        if self.is_outage(now) {
            self.grace_until = now + GRACE;
        }
        self.has_answered = true;
        self.silent_since = None;
        self.may_be_longer = false;
    }

    /// Records that a call to the store failed, which may not have answered since `since`.
    pub fn on_failure(&mut self, since: Instant) {
        self.silent_since.get_or_insert(since);
    }

    /// Records that the store came back from a copy, in which entries of living endpoints may be
    /// missing.
    pub fn on_restored(&mut self, now: Instant) {
        self.grace_until = now + GRACE;
    }

    /// Records that the host was frozen, so that the time since the last answer is not known.
    pub fn on_freeze(&mut self) {
        self.may_be_longer = true;
    }

    /// Until when to use an endpoint whose entry vanishes now, as the store itself tells, unless the
    /// entry returns; `None` if it is gone. `drain` is the time for which an endpoint that left
    /// still serves.
    pub fn hold_until(&self, now: Instant, drain: Duration) -> Option<Instant> {
        match self.is_away(now) {
            true => Some(now + GRACE),
            false => {
                let while_serving = now + drain.saturating_sub(SEND_MARGIN);
                (now < self.grace_until).then_some(self.grace_until.min(while_serving))
            }
        }
    }

    /// The same for an entry that vanishes as another daemon tells, which the store answers.
    pub fn hold_relayed_until(&self, now: Instant, drain: Duration) -> Option<Instant> {
        match self.is_away(now) {
            true => Some(now + GRACE.min(drain.saturating_sub(SEND_MARGIN))),
            false => self.hold_until(now, drain),
        }
    }

    /// When a key that is missing after the store came back is to be given up.
    pub fn give_up_at(now: Instant) -> Instant {
        now + GRACE
    }

    fn is_away(&self, now: Instant) -> bool {
        !self.has_answered || self.is_outage(now)
    }

    /// Whether the store has been silent for so long that leases may have expired.
    fn is_outage(&self, now: Instant) -> bool {
        self.silent_since.is_some_and(|since| self.may_be_longer || now >= since + MIN_LEASE)
    }
}

use std::time::Duration;

/// Divisor of the lease duration that gives the time after which the lease is renewed.
const RENEW_DIVISOR: u32 = 4;
/// Divisor of the lease duration that gives the time after a renewal in which orders are given.
const ORDER_DIVISOR: u32 = 2;
/// Delay before the next try after the lease was refused or lost.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time since host boot; it includes time in which the process or the host was suspended.
pub type BootTime = Duration;

/// Next action for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Do nothing before this time.
    Wait(BootTime),
    /// Try to acquire the lease if it is free.
    Acquire,
    /// Renew the lease.
    Renew,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    fence: u64,
    renewed: BootTime,
}

/// Leader lease: its holder is the only daemon that gives orders to engines.
///
/// The lease is kept in the key-value store, and the revision of its key is the fencing token.
/// Orders are given only while the last renewal is recent, measured by a clock that also runs while
/// the process is suspended. A holder that resumes late therefore stops before a successor starts.
#[derive(Clone, Debug)]
pub struct OrderLease {
    lease: Duration,
    held: Option<Grant>,
    next: BootTime,
}

impl OrderLease {
    /// Creates the state without the lease; each renewal is valid for `lease`.
    pub fn new(lease: Duration) -> Self {
        Self { lease, held: None, next: Duration::ZERO }
    }

    /// Returns the next action; `is_taken` tells whether another daemon is known to hold the lease.
    pub fn step(&mut self, now: BootTime, is_taken: bool) -> LeaseStep {
        if let Some(held) = self.held
            && now >= held.renewed + self.lease
        {
            self.on_lost(now);
        }
        match self.held {
            _ if now < self.next => LeaseStep::Wait(self.next),
            Some(_) => LeaseStep::Renew,
            None if is_taken => LeaseStep::Wait(now + RETRY_PAUSE),
            None => LeaseStep::Acquire,
        }
    }

    /// Records that a call sent at `sent` acquired or renewed the lease.
    pub fn on_granted(&mut self, sent: BootTime, fence: u64) {
        self.held = Some(Grant { fence, renewed: sent });
        self.next = sent + self.lease / RENEW_DIVISOR;
    }

    /// Records that a renewal got no answer; the lease may still be held.
    pub fn on_unanswered(&mut self, now: BootTime) {
        self.next = now + RETRY_PAUSE;
    }

    /// Records that the lease has ended, or that an engine has seen a newer fencing token.
    pub fn on_lost(&mut self, now: BootTime) {
        self.held = None;
        self.next = now + RETRY_PAUSE;
    }

    /// Records that the store came back from a copy, which knows of no lease that was granted since.
    ///
    /// The holder acquires the lease again at once. It may give orders for a while before it hears of
    /// this, so nobody else acquires the lease in that time.
    pub fn on_store_restored(&mut self, now: BootTime) {
        let is_held = self.held.take().is_some_and(|held| now < held.renewed + self.lease);
        self.next = if is_held { now } else { now + self.lease };
    }

    /// Fencing token for orders given now; `None` unless the lease is certain to be held.
    pub fn fence(&self, now: BootTime) -> Option<u64> {
        let held = self.held?;
        (now < held.renewed + self.lease / ORDER_DIVISOR).then_some(held.fence)
    }

    /// Whether the lease was acquired and is not known to have ended.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }
}

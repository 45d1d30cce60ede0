use std::time::Duration;

/// Part of the lease's time after which it is renewed, as a divisor.
const RENEW_DIVISOR: u32 = 4;
/// Part of the lease's time after a renewal in which orders are given, as a divisor.
const ORDER_DIVISOR: u32 = 2;
/// Pause after the lease was refused or lost.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time since the host's boot, which goes on while the process or the host stands still.
pub type BootTime = Duration;

/// What to do next about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderStep {
    /// Nothing before this time.
    Wait(BootTime),
    /// Try to take the lease, if nobody has it.
    Take,
    /// Renew the lease.
    Renew,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: u64,
    renewed: BootTime,
}

/// The right to be the only daemon that gives orders to engines.
///
/// It is held by a lease in the store, whose key's revision is the fencing number. Orders are
/// given only while the last renewal is recent by a clock that also counts the time for which the
/// process was frozen, so that a holder that wakes up late stops before a successor starts.
#[derive(Clone, Debug)]
pub struct Holder {
    lease: Duration,
    held: Option<Held>,
    next: BootTime,
}

impl Holder {
    /// Starts without the lease, which holds for `lease` from each renewal.
    pub fn new(lease: Duration) -> Self {
        Self { lease, held: None, next: Duration::ZERO }
    }

    /// Decides what to do next; `is_taken` says whether another daemon is known to have the lease.
    pub fn step(&mut self, now: BootTime, is_taken: bool) -> HolderStep {
        if let Some(held) = self.held
            && now >= held.renewed + self.lease
        {
            self.on_lost(now);
        }
        match self.held {
            _ if now < self.next => HolderStep::Wait(self.next),
            Some(_) => HolderStep::Renew,
            None if is_taken => HolderStep::Wait(now + RETRY_PAUSE),
            None => HolderStep::Take,
        }
    }

    /// Takes note that the lease was taken or renewed by a call that was sent at `sent`.
    pub fn on_held(&mut self, sent: BootTime, fence: u64) {
        self.held = Some(Held { fence, renewed: sent });
        self.next = sent + self.lease / RENEW_DIVISOR;
    }

    /// Takes note that a renewal got no answer; the lease may still hold.
    pub fn on_unanswered(&mut self, now: BootTime) {
        self.next = now + RETRY_PAUSE;
    }

    /// Takes note that the lease has ended, or that an engine has seen a newer fencing number.
    pub fn on_lost(&mut self, now: BootTime) {
        self.held = None;
        self.next = now + RETRY_PAUSE;
    }

    /// Fencing number to order with now, if the lease certainly holds.
    pub fn fence(&self, now: BootTime) -> Option<u64> {
        let held = self.held?;
        (now < held.renewed + self.lease / ORDER_DIVISOR).then_some(held.fence)
    }

    /// Whether the lease was taken and is not known to have ended.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }
}

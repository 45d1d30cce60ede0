use super::KeyWriter;
use crate::forwarding::{BootTime, StorePosition};
use std::time::Duration;

/// Divisor of the lease duration that gives the interval between renewals.
const RENEW_DIVISOR: u32 = 3;
/// Pause after a failed call, varied by half of it in both directions.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Pause after a first call that was over the store's rate limit, varied in the same way; it doubles
/// with each further one.
const RATE_LIMITED_PAUSE: Duration = Duration::from_millis(50);
/// Number of doublings of that pause.
const MAX_DOUBLINGS: u32 = 5;

/// Next call to the store for the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyStep {
    /// No call before this time, unless the store shows something new.
    Wait(BootTime),
    /// Create a lease.
    Grant,
    /// Write the key under the lease.
    Write(u64),
    /// Renew the lease.
    Renew(u64),
}

/// What a local view of the store shows for the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyView {
    /// Position up to which the view is complete.
    pub as_of: StorePosition,
    /// Writer and position of the key; `None` if the key does not exist.
    pub key: Option<(KeyWriter, StorePosition)>,
}

/// Conclusion from a view of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeySight {
    /// The view is older than the last write of this process, or nothing was written yet.
    Unknown,
    /// The key is attached to the current lease.
    Held,
    /// The key does not exist; it is written again.
    Missing,
    /// The key is that of an earlier lease of this process or of an earlier process; it is written
    /// again.
    Replaced(KeyWriter),
    /// A newer process of the same name has the key, which is left to it.
    Taken(KeyWriter),
    /// The store came back from a copy; the key is written under a new lease.
    Restored,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    /// Era of the store in which it was created.
    era: u64,
}

/// A key that this process holds under a lease.
///
/// Each call may get no response, and each write may be applied some seconds later. Therefore the
/// lease of a write that was not answered is kept, so that a write that arrives late attaches the key
/// to a lease that is renewed. A lease is replaced only when the store says that it has ended, and
/// writes under an ended lease have no effect. All else that may happen to the key (late writes of an
/// earlier process, another process with the same name, a store that comes back from a copy) is
/// noticed by comparing the writer in the key's value with the current lease.
#[derive(Clone, Debug)]
pub struct HeldKey {
    own: KeyWriter,
    ttl: Duration,
    /// Era of the view; 0 before the first one.
    era: u64,
    lease: Option<Lease>,
    /// Position of the last write under the current lease that is known to have been applied.
    written: Option<StorePosition>,
    needs_write: bool,
    is_held: bool,
    /// Before this time the key is not written.
    write_at: BootTime,
    /// When the lease is renewed.
    renew_at: BootTime,
    /// Before this time no call is made after a failed one.
    retry_at: BootTime,
    /// Consecutive calls over the store's rate limit.
    rate_limited_calls: u32,
}

impl HeldKey {
    /// Creates the state of a process that has not written the key. `own` names the process, and each
    /// lease is of the duration `ttl`.
    pub fn new(own: KeyWriter, ttl: Duration) -> Self {
        Self {
            own,
            ttl,
            era: 0,
            lease: None,
            written: None,
            needs_write: true,
            is_held: false,
            write_at: Duration::ZERO,
            renew_at: Duration::ZERO,
            retry_at: Duration::ZERO,
            rate_limited_calls: 0,
        }
    }

    /// Next call to make.
    pub fn step(&self, now: BootTime) -> KeyStep {
        if now < self.retry_at {
            return KeyStep::Wait(self.retry_at);
        }
        match self.lease {
            None if now < self.write_at => KeyStep::Wait(self.write_at),
            None => KeyStep::Grant,
            Some(lease) if now >= self.renew_at => KeyStep::Renew(lease.id),
            Some(_) if !self.needs_write => KeyStep::Wait(self.renew_at),
            Some(_) if now < self.write_at => KeyStep::Wait(self.write_at.min(self.renew_at)),
            Some(lease) => KeyStep::Write(lease.id),
        }
    }

    /// Writer for the value of a write under a lease.
    pub fn writer(&self, lease: u64) -> KeyWriter {
        self.own.with_lease(lease)
    }

    /// Records that a lease was created in an era of the store, by a call sent at `sent`.
    pub fn on_granted(&mut self, sent: BootTime, id: u64, era: u64) {
        self.rate_limited_calls = 0;
        self.lease = Some(Lease { id, era });
        self.written = None;
        self.needs_write = true;
        self.renew_at = sent + self.ttl / RENEW_DIVISOR;
    }

    /// Records that the key was written under the current lease.
    pub fn on_written(&mut self, at: StorePosition) {
        self.rate_limited_calls = 0;
        self.written = self.written.max(Some(at));
        self.needs_write = false;
    }

    /// Records that the lease was renewed by a call sent at `sent`.
    pub fn on_renewed(&mut self, sent: BootTime) {
        self.renew_at = sent + self.ttl / RENEW_DIVISOR;
    }

    /// Records that the store does not know the lease. Other processes may have lost theirs at the
    /// same moment, so the next one is created after `pause`.
    pub fn on_lease_ended(&mut self, now: BootTime, pause: Duration) {
        self.drop_lease();
        self.write_at = now + pause;
    }

    /// Records that a call failed or got no response; `jitter`, 0 to 1, varies the pause.
    pub fn on_failed(&mut self, now: BootTime, jitter: f64) {
        self.retry_at = now + RETRY_PAUSE.mul_f64(0.5 + jitter);
    }

    /// Records that a call was over the store's rate limit and had no effect; `jitter`, 0 to 1, varies
    /// the pause.
    pub fn on_rate_limited(&mut self, now: BootTime, jitter: f64) {
        let pause = RATE_LIMITED_PAUSE * 2_u32.pow(self.rate_limited_calls.min(MAX_DOUBLINGS));
        self.rate_limited_calls += 1;
        self.retry_at = now + pause.mul_f64(0.5 + jitter);
    }

    /// Compares the key with what this process wrote. `pause` is the delay before the key is written
    /// again; it is given whether the store came back from a copy.
    pub fn on_view(
        &mut self,
        now: BootTime,
        view: &KeyView,
        pause: impl FnOnce(bool) -> Duration,
    ) -> KeySight {
        if view.as_of.era < self.era {
            return KeySight::Unknown;
        }
        let is_restored = self.era != 0 && view.as_of.era > self.era;
        self.era = view.as_of.era;
        if is_restored && self.lease.is_some_and(|lease| lease.era < self.era) {
            self.drop_lease();
            self.write_at = now + pause(true);
            return KeySight::Restored;
        }
        let sight = self.sight(view);
        self.is_held = sight == KeySight::Held || self.is_held && sight == KeySight::Unknown;
        match sight {
            KeySight::Held => self.on_written(view.key.map(|(_, at)| at).unwrap_or_default()),
            KeySight::Missing | KeySight::Replaced(_) if !self.needs_write => {
                self.needs_write = true;
                self.write_at = now + pause(false);
            }
            _ => {}
        }
        sight
    }

    /// Whether the store last showed the key under the current lease. Until then what the store shows
    /// of other processes may be incomplete in the same way.
    pub fn is_held(&self) -> bool {
        self.is_held
    }

    fn sight(&self, view: &KeyView) -> KeySight {
        let is_own = |writer: &KeyWriter| {
            writer.is_same_boot(&self.own)
                && self.lease.is_some_and(|lease| lease.id == writer.lease)
        };
        match view.key {
            Some((writer, _)) if writer.is_newer_boot_than(&self.own) => KeySight::Taken(writer),
            Some((writer, at)) if is_own(&writer) && Some(at) >= self.written => KeySight::Held,
            _ if self.written.is_none_or(|written| view.as_of < written) => KeySight::Unknown,
            Some((writer, at)) if Some(at) > self.written => KeySight::Replaced(writer),
            Some(_) => KeySight::Unknown,
            None => KeySight::Missing,
        }
    }

    fn drop_lease(&mut self) {
        self.lease = None;
        self.written = None;
        self.needs_write = true;
        self.is_held = false;
    }
}

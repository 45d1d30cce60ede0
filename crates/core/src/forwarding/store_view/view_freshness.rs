use super::StorePosition;
use crate::{
    forwarding::BootTime,
    ids::{DaemonId, FastMap, ZoneId},
};
use std::time::Duration;

/// Maximum age of the store's last proof for which a view counts as current.
const STORE_MAX_AGE: Duration = Duration::from_millis(3_500);
/// The same of the proofs of the other daemons.
const DAEMON_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Maximum age of any proof for which a daemon counts as in contact with the others.
const CONTACT_MAX_AGE: Duration = STORE_MAX_AGE;

/// Who vouches for what other daemons know.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Witness {
    /// A daemon, for itself.
    Daemon(DaemonId),
    /// A daemon of another availability zone, for all daemons there.
    Zone(ZoneId),
}

/// How current a daemon's view of the store's keys is.
///
/// Load: daemons that start, are paused or are cut off while weights are announced and endpoints of
/// another software version join, with the store away or not.
///
/// A proof dates from the start of the call whose answer brought it. The arrival of an answer proves
/// nothing: it may have waited on the way, or in a buffer of a paused host. Times are of a
/// clock that also runs while the host is suspended.
#[derive(Clone, Debug, Default)]
pub struct ViewFreshness {
    /// When the last call began that the store answered.
    store: Option<BootTime>,
    /// The same of the calls to other daemons.
    witnesses: FastMap<Witness, BootTime>,
    /// Newest position that any other daemon is known to have reached.
    newest: StorePosition,
}

impl ViewFreshness {
    /// Records that the store answered a call that began at `called_at`, and that the view contains
    /// the answer.
    pub fn on_store_answer(&mut self, called_at: BootTime) {
        self.store = self.store.max(Some(called_at));
    }

    /// Records a position that another daemon has reached.
    pub fn on_position(&mut self, position: StorePosition) {
        self.newest = self.newest.max(position);
    }

    /// Records that a call which began at `called_at` was answered by, or for, daemons that had reached
    /// no more than `position`.
    pub fn on_witness(&mut self, called_at: BootTime, witness: Witness, position: StorePosition) {
        self.on_position(position);
        let last = self.witnesses.entry(witness).or_insert(called_at);
        *last = called_at.max(*last);
    }

    /// Forgets what other daemons have told.
    pub fn forget_witnesses(&mut self) {
        self.witnesses.clear();
    }

    /// Forgets a daemon that is no longer a member.
    pub fn remove(&mut self, daemon: &DaemonId) {
        self.witnesses.remove(&Witness::Daemon(daemon.clone()));
    }

    /// Newest position that any other daemon is known to have reached.
    pub fn newest(&self) -> StorePosition {
        self.newest
    }

    /// Age of the store's last proof; `None` if it never answered.
    pub fn store_age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.store?))
    }

    /// Age of the oldest proof of these witnesses; `None` if one of them has not answered.
    pub fn oldest_age(
        &self,
        now: BootTime,
        witnesses: impl IntoIterator<Item = Witness>,
    ) -> Option<Duration> {
        let ages = witnesses.into_iter().map(|witness| self.witnesses.get(&witness));
        let oldest = ages.collect::<Option<Vec<_>>>()?.into_iter().min().copied();
        Some(now.saturating_sub(oldest.unwrap_or(now)))
    }

    /// Whether a view that has reached `view` is current: it contains every write that another daemon
    /// may already act on. `witnesses` vouch for all other members; there are none without members.
    pub fn is_current(
        &self,
        now: BootTime,
        view: StorePosition,
        witnesses: impl IntoIterator<Item = Witness>,
    ) -> bool {
        self.store_age(now).is_some_and(|age| age < STORE_MAX_AGE)
            || self.is_proved_by(now, view, witnesses, DAEMON_MAX_AGE)
    }

    /// Whether a view that has reached `view` contains all that the store, or every other member, knew
    /// at `since`.
    pub fn is_complete_since(
        &self,
        now: BootTime,
        since: BootTime,
        view: StorePosition,
        witnesses: impl IntoIterator<Item = Witness>,
    ) -> bool {
        let max_age = now.saturating_sub(since);
        self.store_age(now).is_some_and(|age| age <= max_age)
            || self.is_proved_by(now, view, witnesses, max_age)
    }

    /// Whether the store or all witnesses have answered lately, whatever the view contains.
    pub fn is_in_contact(
        &self,
        now: BootTime,
        witnesses: impl IntoIterator<Item = Witness>,
    ) -> bool {
        self.store_age(now).is_some_and(|age| age < CONTACT_MAX_AGE)
            || self.have_answered(now, witnesses, CONTACT_MAX_AGE)
    }

    /// Whether other daemons prove that the view contains all that they know.
    fn is_proved_by(
        &self,
        now: BootTime,
        view: StorePosition,
        witnesses: impl IntoIterator<Item = Witness>,
        max_age: Duration,
    ) -> bool {
        view >= self.newest && self.have_answered(now, witnesses, max_age)
    }

    /// Whether there are witnesses, and all have answered a call that is not older than `max_age`.
    fn have_answered(
        &self,
        now: BootTime,
        witnesses: impl IntoIterator<Item = Witness>,
        max_age: Duration,
    ) -> bool {
        let mut witnesses = witnesses.into_iter().peekable();
        witnesses.peek().is_some()
            && self.oldest_age(now, witnesses).is_some_and(|age| age <= max_age)
    }
}

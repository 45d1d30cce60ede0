use super::split_attempt_id;
use crate::ids::{AttemptId, BootId};
use std::collections::{BTreeMap, VecDeque};

/// Memory bounds of an [`AttemptLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptLimits {
    /// Maximum number of ended and sealed attempts retained.
    pub max_closed: usize,
    /// Maximum total size of retained answers, in bytes; the newest is retained even if it alone is
    /// larger.
    pub max_answer_bytes: usize,
    /// Maximum number of series whose highest evicted sequence number is tracked.
    pub max_series: usize,
}

impl Default for AttemptLimits {
    fn default() -> Self {
        Self { max_closed: 20_000, max_answer_bytes: 8 * 1024 * 1024, max_series: 4_096 }
    }
}

/// An endpoint daemon's record of the attempts it has received or been queried about.
///
/// An attempt is passed to the endpoint at most once, and a sealed attempt never. An evicted
/// attempt is reported as forgotten, never as one that did not arrive. `E` is the result type of
/// an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptLog<E> {
    boot: BootId,
    limits: AttemptLimits,
    attempts: BTreeMap<AttemptId, AttemptState<E>>,
    /// Ended and sealed attempts, oldest first, with the size of their answers in bytes.
    closed: VecDeque<(AttemptId, usize)>,
    /// Total size of the answers in `closed`.
    closed_bytes: usize,
    /// Highest evicted sequence number by series.
    evicted: BTreeMap<u128, u64>,
    /// Newest series dropped from `evicted`. Attempts of this or an older series that is missing
    /// there may have been evicted.
    evicted_series: Option<u128>,
}

/// State of one attempt in an [`AttemptLog`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState<E> {
    /// The attempt was accepted and has not ended.
    Running,
    /// The attempt ended with this result.
    Ended(E),
    /// The attempt was queried before it arrived and must not run.
    Sealed,
}

/// Admission decision for an arriving attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenDecision {
    /// Pass the attempt to the endpoint; returned at most once per attempt.
    Run,
    /// The attempt was accepted earlier and must not run again.
    AlreadyAccepted,
    /// The attempt was sealed: refuse it.
    Sealed,
    /// The attempt was claimed for another boot: refuse it.
    WrongBoot,
    /// The attempt may have been accepted or sealed and then evicted: neither run nor refuse it.
    Forgotten,
}

/// State of an attempt as reported to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolved<E> {
    /// The attempt had not arrived and is now sealed.
    Sealed,
    /// The attempt was accepted and has not ended.
    Running,
    /// The attempt ended with this result.
    Ended(E),
    /// The attempt may have been evicted, so its state is unknown.
    Forgotten,
}

impl<E: Clone> AttemptLog<E> {
    /// Creates an empty log for one boot of an endpoint daemon.
    pub fn new(boot: BootId, limits: AttemptLimits) -> Self {
        Self {
            boot,
            limits,
            attempts: BTreeMap::new(),
            closed: VecDeque::new(),
            closed_bytes: 0,
            evicted: BTreeMap::new(),
            evicted_series: None,
        }
    }

    /// Boot of the endpoint daemon that this log belongs to.
    pub fn boot(&self) -> BootId {
        self.boot
    }

    /// Returns the decision that [`AttemptLog::open`] would make, without recording anything.
    pub fn check(&self, id: AttemptId, boot: Option<BootId>) -> OpenDecision {
        if boot.is_some_and(|boot| boot != self.boot) {
            return OpenDecision::WrongBoot;
        }
        match self.attempts.get(&id) {
            Some(AttemptState::Sealed) => OpenDecision::Sealed,
            Some(_) => OpenDecision::AlreadyAccepted,
            None if self.may_have_evicted(id) => OpenDecision::Forgotten,
            None => OpenDecision::Run,
        }
    }

    /// Decides whether an arriving attempt may run and records it as running if so.
    ///
    /// `boot` is the boot that the attempt was claimed for; `None` skips the boot check.
    pub fn open(&mut self, id: AttemptId, boot: Option<BootId>) -> OpenDecision {
        let decision = self.check(id, boot);
        if decision == OpenDecision::Run {
            self.attempts.insert(id, AttemptState::Running);
        }
        decision
    }

    /// Records the result of a running attempt; `bytes` is the size of its answer.
    ///
    /// Has no effect on an attempt that is not running.
    pub fn end(&mut self, id: AttemptId, end: E, bytes: usize) {
        if let Some(state @ AttemptState::Running) = self.attempts.get_mut(&id) {
            *state = AttemptState::Ended(end);
            self.close(id, bytes);
        }
    }

    /// Returns the state of an attempt; one that has not arrived is sealed.
    pub fn resolve(&mut self, id: AttemptId) -> Resolved<E> {
        match self.attempts.get(&id) {
            Some(AttemptState::Sealed) => Resolved::Sealed,
            Some(AttemptState::Running) => Resolved::Running,
            Some(AttemptState::Ended(end)) => Resolved::Ended(end.clone()),
            None if self.may_have_evicted(id) => Resolved::Forgotten,
            None => {
                self.attempts.insert(id, AttemptState::Sealed);
                self.close(id, 0);
                Resolved::Sealed
            }
        }
    }

    /// State of an attempt; `None` if it has not arrived or was evicted.
    pub fn get(&self, id: AttemptId) -> Option<&AttemptState<E>> {
        self.attempts.get(&id)
    }

    /// Number of retained attempts, including running ones.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether the log retains no attempts.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Number of attempts that were accepted and have not ended.
    pub fn running(&self) -> usize {
        self.attempts.len() - self.closed.len()
    }

    fn may_have_evicted(&self, id: AttemptId) -> bool {
        let (series, sequence) = split_attempt_id(id);
        match self.evicted.get(&series) {
            Some(through) => sequence <= *through,
            None => self.evicted_series.is_some_and(|through| series <= through),
        }
    }

    fn close(&mut self, id: AttemptId, bytes: usize) {
        self.closed.push_back((id, bytes));
        self.closed_bytes += bytes;
        // The newest entry is kept whatever its size, because its claimant has not read it yet.
        while self.closed.len() > 1 && self.exceeds_limits() {
            let Some((oldest, bytes)) = self.closed.pop_front() else { break };
            self.closed_bytes -= bytes;
            self.evict(oldest);
        }
    }

    fn exceeds_limits(&self) -> bool {
        self.closed.len() > self.limits.max_closed
            || self.closed_bytes > self.limits.max_answer_bytes
    }

    fn evict(&mut self, id: AttemptId) {
        self.attempts.remove(&id);
        let (series, sequence) = split_attempt_id(id);
        if self.evicted_series.is_some_and(|through| series <= through)
            && !self.evicted.contains_key(&series)
        {
            return;
        }
        let through = self.evicted.entry(series).or_insert(sequence);
        *through = sequence.max(*through);
        if self.evicted.len() > self.limits.max_series
            && let Some((oldest, _)) = self.evicted.pop_first()
        {
            self.evicted_series = self.evicted_series.max(Some(oldest));
        }
    }
}

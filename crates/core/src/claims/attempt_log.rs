use super::series_of;
use crate::ids::{AttemptId, BootId};
use std::collections::{BTreeMap, VecDeque};

/// Bounds of an endpoint daemon's record of attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptLimits {
    /// Ended and sealed attempts that are remembered.
    pub max_closed: usize,
    /// Bytes of answers that are remembered.
    pub max_answer_bytes: usize,
    /// Attempt series whose forgotten part is remembered.
    pub max_series: usize,
}

impl Default for AttemptLimits {
    fn default() -> Self {
        Self { max_closed: 20_000, max_answer_bytes: 8 * 1024 * 1024, max_series: 4_096 }
    }
}

/// An endpoint daemon's record of the attempts it was handed or asked about.
///
/// An attempt is handed on to the endpoint at most once, and one that was sealed never. What the
/// record has dropped is never said to have not arrived. `E` is the end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptLog<E> {
    boot: BootId,
    limits: AttemptLimits,
    attempts: BTreeMap<AttemptId, AttemptState<E>>,
    closed: VecDeque<(AttemptId, usize)>,
    closed_bytes: usize,
    /// Highest forgotten sequence number of each series.
    forgotten: BTreeMap<u128, u64>,
    /// Every series up to this one may have been dropped from `forgotten`.
    forgotten_series: Option<u128>,
}

/// What the record holds of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState<E> {
    /// It was taken and has not ended.
    Running,
    /// It ended.
    Ended(E),
    /// It never arrived and must not run.
    Sealed,
}

/// Decision on an arriving attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Hand it to the endpoint; this is said once.
    Run,
    /// It was taken before; do not run it again.
    AlreadyTaken,
    /// It was sealed: refuse.
    Sealed,
    /// It was meant for another boot: refuse.
    WrongBoot,
    /// It may have been taken or sealed before and forgotten: neither run nor refuse it.
    Forgotten,
}

/// What is known of an attempt that somebody asks about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolved<E> {
    /// It never arrived and is now sealed.
    Sealed,
    /// It was taken and has not ended.
    Running,
    /// It ended.
    Ended(E),
    /// Nothing is known of it any more.
    Forgotten,
}

impl<E: Clone> AttemptLog<E> {
    /// Starts an empty record for one boot of an endpoint daemon.
    pub fn new(boot: BootId, limits: AttemptLimits) -> Self {
        Self {
            boot,
            limits,
            attempts: BTreeMap::new(),
            closed: VecDeque::new(),
            closed_bytes: 0,
            forgotten: BTreeMap::new(),
            forgotten_series: None,
        }
    }

    /// Boot that the record belongs to.
    pub fn boot(&self) -> BootId {
        self.boot
    }

    /// Tells what [`AttemptLog::open`] would decide.
    pub fn check(&self, id: AttemptId, boot: Option<BootId>) -> Opening {
        if boot.is_some_and(|boot| boot != self.boot) {
            return Opening::WrongBoot;
        }
        match self.attempts.get(&id) {
            Some(AttemptState::Sealed) => Opening::Sealed,
            Some(_) => Opening::AlreadyTaken,
            None if self.may_have_forgotten(id) => Opening::Forgotten,
            None => Opening::Run,
        }
    }

    /// Decides on an arriving attempt; `boot` is the boot it was claimed for, if any.
    pub fn open(&mut self, id: AttemptId, boot: Option<BootId>) -> Opening {
        let opening = self.check(id, boot);
        if opening == Opening::Run {
            self.attempts.insert(id, AttemptState::Running);
        }
        opening
    }

    /// Records the end of a running attempt; `bytes` is the size of its answer.
    pub fn end(&mut self, id: AttemptId, end: E, bytes: usize) {
        if let Some(state @ AttemptState::Running) = self.attempts.get_mut(&id) {
            *state = AttemptState::Ended(end);
            self.close(id, bytes);
        }
    }

    /// Tells what became of an attempt and seals one that never arrived.
    pub fn resolve(&mut self, id: AttemptId) -> Resolved<E> {
        match self.attempts.get(&id) {
            Some(AttemptState::Sealed) => Resolved::Sealed,
            Some(AttemptState::Running) => Resolved::Running,
            Some(AttemptState::Ended(end)) => Resolved::Ended(end.clone()),
            None if self.may_have_forgotten(id) => Resolved::Forgotten,
            None => {
                self.attempts.insert(id, AttemptState::Sealed);
                self.close(id, 0);
                Resolved::Sealed
            }
        }
    }

    /// What is held of an attempt.
    pub fn get(&self, id: AttemptId) -> Option<&AttemptState<E>> {
        self.attempts.get(&id)
    }

    /// Attempts held, running ones included.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is held.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Attempts that were taken and have not ended.
    pub fn running(&self) -> usize {
        self.attempts.len() - self.closed.len()
    }

    fn may_have_forgotten(&self, id: AttemptId) -> bool {
        let (series, sequence) = series_of(id);
        match self.forgotten.get(&series) {
            Some(through) => sequence <= *through,
            None => self.forgotten_series.is_some_and(|through| series <= through),
        }
    }

    fn close(&mut self, id: AttemptId, bytes: usize) {
        self.closed.push_back((id, bytes));
        self.closed_bytes += bytes;
        // The newest stays whatever its size: its claimant has not read it yet.
        while self.closed.len() > 1 && self.is_over_limits() {
            let Some((oldest, bytes)) = self.closed.pop_front() else { break };
            self.closed_bytes -= bytes;
            self.forget(oldest);
        }
    }

    fn is_over_limits(&self) -> bool {
        self.closed.len() > self.limits.max_closed
            || self.closed_bytes > self.limits.max_answer_bytes
    }

    fn forget(&mut self, id: AttemptId) {
        self.attempts.remove(&id);
        let (series, sequence) = series_of(id);
        if self.forgotten_series.is_some_and(|through| series <= through)
            && !self.forgotten.contains_key(&series)
        {
            return;
        }
        let through = self.forgotten.entry(series).or_insert(sequence);
        *through = sequence.max(*through);
        if self.forgotten.len() > self.limits.max_series
            && let Some((oldest, _)) = self.forgotten.pop_first()
        {
            self.forgotten_series = self.forgotten_series.max(Some(oldest));
        }
    }
}

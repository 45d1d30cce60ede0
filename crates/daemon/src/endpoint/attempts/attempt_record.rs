use cassiagw_core::{
    claims::{AttemptLimits, AttemptLog, AttemptState, OpenDecision, Resolved},
    ids::{AttemptId, BootId},
};
use cassiagw_rpc::{End, Ran, Resolution};
use serde::Serialize;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Bytes that an end takes besides its body.
const END_BYTES: usize = 128;

/// Record of attempts, shared by the calls of the endpoint protocol.
#[derive(Debug)]
pub struct AttemptRecord {
    log: Mutex<AttemptLog<End>>,
}

/// Size of the record, for a dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct AttemptCounts {
    /// Attempts held.
    pub held: usize,
    /// Attempts that have not ended.
    pub running: usize,
}

impl AttemptRecord {
    /// Starts an empty record for this boot of the daemon.
    pub fn new(boot: BootId) -> Self {
        Self::with_limits(boot, AttemptLimits::default())
    }

    /// Starts an empty record with bounds of its own.
    pub fn with_limits(boot: BootId, limits: AttemptLimits) -> Self {
        Self { log: Mutex::new(AttemptLog::new(boot, limits)) }
    }

    /// Tells what [`AttemptRecord::open`] would decide.
    pub fn check(&self, id: AttemptId, boot: Option<BootId>) -> OpenDecision {
        self.lock().check(id, boot)
    }

    /// Decides on an arriving attempt; it is [`OpenDecision::Run`] at most once for each.
    pub fn open(&self, id: AttemptId, boot: Option<BootId>) -> OpenDecision {
        self.lock().open(id, boot)
    }

    /// Records the end of an attempt.
    pub fn end(&self, id: AttemptId, end: End) {
        let bytes = match &end {
            End::Answer(answer) => answer.body.len(),
            End::Finished { .. } | End::Failed { .. } => 0,
        };
        self.lock().end(id, end, END_BYTES + bytes);
    }

    /// End of an attempt, if it is known.
    pub fn end_of(&self, id: AttemptId) -> Option<End> {
        match self.lock().get(id)? {
            AttemptState::Ended(end) => Some(end.clone()),
            AttemptState::Running | AttemptState::Sealed => None,
        }
    }

    /// Tells what became of an attempt and seals one that never arrived.
    pub fn resolve(&self, id: AttemptId) -> Resolution {
        let mut log = self.lock();
        let boot = log.boot();
        match log.resolve(id) {
            Resolved::Sealed => Resolution::Sealed { boot },
            Resolved::Running => Resolution::Running { boot },
            Resolved::Ended(end) => Resolution::Ended { boot, end },
            Resolved::Forgotten => Resolution::Forgotten { boot, ran: Ran::Unknown },
        }
    }

    /// Size of the record.
    pub fn counts(&self) -> AttemptCounts {
        let log = self.lock();
        AttemptCounts { held: log.len(), running: log.running() }
    }

    fn lock(&self) -> MutexGuard<'_, AttemptLog<End>> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

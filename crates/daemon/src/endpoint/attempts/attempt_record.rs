use cassiagw_core::{
    claims::{AttemptLimits, AttemptLog, AttemptState, OpenDecision, Resolved},
    ids::{AttemptId, BootId},
};
use cassiagw_rpc::{Resolution, RunStatus, StreamEnd};
use serde::Serialize;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Estimated size of a recorded end in bytes, without its body.
const END_BYTES: usize = 128;

/// Thread-safe record of attempts, shared by the calls of the endpoint protocol.
#[derive(Debug)]
pub struct AttemptRecord {
    log: Mutex<AttemptLog<StreamEnd>>,
}

/// Size of the record, written to state dumps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct AttemptCounts {
    /// Attempts held.
    pub held: usize,
    /// Attempts that have not ended.
    pub running: usize,
}

impl AttemptRecord {
    /// Creates an empty record for this boot of the daemon, with the default limits.
    pub fn new(boot: BootId) -> Self {
        Self::with_limits(boot, AttemptLimits::default())
    }

    /// Creates an empty record with the given limits.
    pub fn with_limits(boot: BootId, limits: AttemptLimits) -> Self {
        Self { log: Mutex::new(AttemptLog::new(boot, limits)) }
    }

    /// Returns what [`AttemptRecord::open`] would decide, without recording the attempt.
    pub fn check(&self, id: AttemptId, boot: Option<BootId>) -> OpenDecision {
        self.lock().check(id, boot)
    }

    /// Records an arriving attempt; returns [`OpenDecision::Run`] at most once for each attempt.
    pub fn open(&self, id: AttemptId, boot: Option<BootId>) -> OpenDecision {
        self.lock().open(id, boot)
    }

    /// Records how an attempt ended.
    pub fn end(&self, id: AttemptId, end: StreamEnd) {
        let bytes = match &end {
            StreamEnd::Answer(answer) => answer.body.len(),
            StreamEnd::Finished { .. } | StreamEnd::Failed { .. } => 0,
        };
        self.lock().end(id, end, END_BYTES + bytes);
    }

    /// Returns how an attempt ended; `None` if it has not ended or is not in the record.
    pub fn end_of(&self, id: AttemptId) -> Option<StreamEnd> {
        match self.lock().get(id)? {
            AttemptState::Ended(end) => Some(end.clone()),
            AttemptState::Running | AttemptState::Sealed => None,
        }
    }

    /// Returns what became of an attempt. One that never arrived is sealed, so that it cannot run
    /// later.
    pub fn resolve(&self, id: AttemptId) -> Resolution {
        let mut log = self.lock();
        let boot = log.boot();
        match log.resolve(id) {
            Resolved::Sealed => Resolution::Sealed { boot },
            Resolved::Running => Resolution::Running { boot },
            Resolved::Ended(end) => Resolution::Ended { boot, end },
            Resolved::Forgotten => Resolution::Forgotten { boot, ran: RunStatus::Unknown },
        }
    }

    /// Returns the number of attempts held and of those still running.
    pub fn counts(&self) -> AttemptCounts {
        let log = self.lock();
        AttemptCounts { held: log.len(), running: log.running() }
    }

    fn lock(&self) -> MutexGuard<'_, AttemptLog<StreamEnd>> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

use super::{CrashedRun, PartHash, QuarantinedPart};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A crashed run and the time since the crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedRun {
    /// The run.
    pub run: CrashedRun,
    /// Time since its endpoint crashed.
    pub age: Duration,
}

/// A suspected part under which a run survived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Survival {
    /// The part.
    pub part: PartHash,
    /// Time since a run with it last survived.
    pub age: Duration,
}

/// A quarantine and the time for which it still holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedQuarantine {
    /// The quarantine.
    pub quarantined: QuarantinedPart,
    /// Time until it ends.
    pub left: Duration,
}

/// What one daemon tells the others about crashes and their causes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Crashed runs that the daemon saw itself in the last seconds.
    pub runs: Vec<AgedRun>,
    /// Survivals that it saw itself and by which a crash no longer counts for a part.
    pub survivals: Vec<Survival>,
    /// Quarantines in force, its own and those it was told of.
    pub quarantined: Vec<TimedQuarantine>,
}

impl QuarantineReport {
    /// Whether the report has crashes or survivals that others may not know yet.
    pub fn has_crashes(&self) -> bool {
        !self.runs.is_empty() || !self.survivals.is_empty()
    }
}

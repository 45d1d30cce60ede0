use super::{PartHash, SuspectKind};
use crate::ids::WorkspaceId;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time for which a quarantine holds.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time from a quarantine to the first trial, in which one daemon sends one request with the part.
/// Each further trial comes after twice the time.
const FIRST_TRIAL: Duration = Duration::from_secs(30);
/// Time in which a trial is made; without a request in it there is none.
const TRIAL_WINDOW: Duration = Duration::from_secs(10);

/// Trials of a whole request in one quarantine: those that send it from elsewhere add to them.
const MAX_REQUEST_TRIALS: u32 = 2;

/// A prompt part or a whole request that crashes endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartHash,
    /// Whether it is a part or a whole request.
    pub kind: SuspectKind,
    /// Identifier of the part, as callers name it, or method and path of the request; shortened, and
    /// empty if not known.
    pub name: String,
    /// Workspace whose requests are kept away; `None` for those of all workspaces.
    ///
    /// The requests of one workspace never keep those of another away.
    pub workspace: Option<WorkspaceId>,
    /// Number of crashes that led to the quarantine.
    pub crashes: u32,
}

/// A quarantine in force, and the trials that may end it.
#[derive(Clone, Debug)]
pub struct ActiveQuarantine {
    /// The quarantine.
    pub quarantined: QuarantinedPart,
    /// Time since which it holds here.
    pub since: Instant,
    /// Time at which it ends.
    pub until: Instant,
    /// Whether the store has it.
    pub is_stored: bool,
    next_trial: Instant,
    trial_pause: Duration,
    trials: u32,
}

impl QuarantinedPart {
    /// Whether requests of a workspace are kept away.
    pub fn covers(&self, workspace: &str) -> bool {
        self.workspace.as_deref().is_none_or(|only| only == workspace)
    }
}

impl ActiveQuarantine {
    /// Creates a quarantine that holds from now until `until`.
    pub fn new(
        now: Instant,
        quarantined: QuarantinedPart,
        until: Instant,
        is_stored: bool,
    ) -> Self {
        Self {
            quarantined,
            since: now,
            until,
            is_stored,
            next_trial: now + FIRST_TRIAL,
            trial_pause: FIRST_TRIAL,
            trials: 0,
        }
    }

    /// Whether one request may be sent now to see whether the part still crashes endpoints.
    pub fn is_trial_due(&self, now: Instant) -> bool {
        let is_left = self.trials < self.max_trials();
        is_left && now >= self.next_trial && now < self.next_trial + TRIAL_WINDOW
    }

    fn max_trials(&self) -> u32 {
        match self.quarantined.kind {
            SuspectKind::Part => u32::MAX,
            SuspectKind::Request => MAX_REQUEST_TRIALS,
        }
    }

    /// Records that the request of a trial was sent, and schedules the next one.
    pub fn on_trial(&mut self, now: Instant) {
        self.trials += 1;
        self.schedule_trial(now);
    }

    /// Whether the time of a trial is over in which no request came for it.
    pub fn has_missed_trial(&self, now: Instant) -> bool {
        now >= self.next_trial + TRIAL_WINDOW
    }

    /// Schedules the next trial, after twice the time.
    pub fn schedule_trial(&mut self, now: Instant) {
        self.trial_pause *= 2;
        self.next_trial = now + self.trial_pause;
    }

    /// Takes over what another quarantine on the same part knows; true if this one then holds for more
    /// workspaces.
    pub fn widen(&mut self, other: &QuarantinedPart) -> bool {
        let own = &mut self.quarantined;
        own.crashes = own.crashes.max(other.crashes);
        if own.name.is_empty() {
            own.name.clone_from(&other.name);
        }
        let is_wider = own.workspace.is_some() && own.workspace != other.workspace;
        if is_wider {
            own.workspace = None;
        }
        is_wider
    }
}

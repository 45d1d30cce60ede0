use super::{PartHash, SuspectKind};
use crate::ids::WorkspaceId;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time for which a quarantine holds.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time from a quarantine to the first trial, in which one daemon sends one request with the part.
/// Each further trial comes after twice the time.
const FIRST_TRIAL: Duration = Duration::from_secs(30);
/// Time to the first trial of a whole request if all endpoints may have crashed for another reason.
/// By then they are normally back.
const SOON_TRIAL: Duration = Duration::from_secs(5);
/// Time in which a trial is made; without a request in it there is none.
const TRIAL_WINDOW: Duration = Duration::from_secs(10);
/// Trials in one quarantine: those that callers cause elsewhere add to them.
const MAX_TRIALS: u32 = 2;

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
    /// Number of trials made so far, by whichever daemon.
    #[serde(default)]
    pub trials: u32,
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
}

impl QuarantinedPart {
    /// Whether requests of a workspace are kept away.
    pub fn covers(&self, workspace: &str) -> bool {
        self.workspace.as_deref().is_none_or(|only| only == workspace)
    }
}

impl ActiveQuarantine {
    /// Creates a quarantine that holds from now until `until`. `is_uncertain` makes its first trial
    /// come soon, unless there was one already.
    pub fn new(
        now: Instant,
        quarantined: QuarantinedPart,
        until: Instant,
        is_stored: bool,
        is_uncertain: bool,
    ) -> Self {
        let is_soon = is_uncertain && quarantined.trials == 0;
        let trial_pause = if is_soon { SOON_TRIAL } else { FIRST_TRIAL };
        Self {
            quarantined,
            since: now,
            until,
            is_stored,
            next_trial: now + trial_pause,
            trial_pause,
        }
    }

    /// Whether one request may be sent now to see whether the part still crashes endpoints.
    pub fn is_trial_due(&self, now: Instant) -> bool {
        self.trial_due_for(now).is_some()
    }

    /// Time for which a trial has been due; `None` if none is.
    pub fn trial_due_for(&self, now: Instant) -> Option<Duration> {
        let is_left = self.quarantined.trials < MAX_TRIALS;
        let is_over = now >= self.next_trial + TRIAL_WINDOW && !self.is_soon();
        now.checked_duration_since(self.next_trial).filter(|_| is_left && !is_over)
    }

    /// Whether the next trial is one that comes soon. It stays due until a request is sent, since there
    /// may have been no endpoint to send one to.
    fn is_soon(&self) -> bool {
        self.trial_pause == SOON_TRIAL
    }

    /// Records that the request of a trial was sent, and schedules the next one. The store is told, so
    /// that a daemon that starts anew makes no more trials than are left.
    pub fn on_trial(&mut self, now: Instant) {
        self.quarantined.trials += 1;
        self.is_stored = false;
        self.schedule_next(now);
    }

    /// Skips a trial if its time is over and no request came in it.
    pub fn skip_missed_trial(&mut self, now: Instant) {
        if now >= self.next_trial + TRIAL_WINDOW && !self.is_soon() {
            self.schedule_next(now);
        }
    }

    /// Schedules the next trial, after twice the time.
    fn schedule_next(&mut self, now: Instant) {
        self.trial_pause = (self.trial_pause * 2).max(FIRST_TRIAL);
        self.next_trial = now + self.trial_pause;
    }

    /// Takes over what another quarantine on the same part knows; true if this one then holds for more
    /// workspaces.
    pub fn widen(&mut self, now: Instant, other: &QuarantinedPart) -> bool {
        if other.trials > self.quarantined.trials {
            self.quarantined.trials = other.trials;
            self.schedule_next(now);
        }
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

use super::{
    RolloutPhase, RolloutStatement, RouteStatement,
    answer_pool::{host_growth, route_growth},
    rollout_statement::HostStatement,
};
use crate::ids::{BootId, DaemonId, FastMap};
use std::time::{Duration, Instant};

/// Largest number of daemons whose statements are kept.
const MAX_DAEMONS: usize = 2_048;
/// Number of a daemon's earlier boots that are remembered, so that a late statement of one of them
/// isn't taken for a new boot.
const FORMER_BOOTS: usize = 4;
/// Age up to which a statement's judgement counts.
const JUDGEMENT_AGE: Duration = Duration::from_secs(2);

/// Latest statement of each other daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct DaemonStatements {
    known: FastMap<DaemonId, Known>,
}

#[derive(Clone, Debug)]
struct Known {
    heard_at: Instant,
    statement: RolloutStatement,
    former_boots: Vec<BootId>,
    /// Requests that earlier boots sent to the service and to the target.
    former_sent: u64,
    former_exposed: u64,
    /// Whether the daemon has gone since.
    is_gone: bool,
}

/// Answers that a statement has beyond the one before.
#[derive(Clone, Debug, Default)]
pub(super) struct Growth {
    pub(super) routes: Vec<RouteStatement>,
    pub(super) hosts: Vec<HostStatement>,
}

impl DaemonStatements {
    /// Replaces a daemon's statement. Returns the growth, or `None` if the statement is not later
    /// than the known one.
    pub(super) fn replace(
        &mut self,
        now: Instant,
        from: DaemonId,
        statement: RolloutStatement,
    ) -> Option<Growth> {
        let Some(known) = self.known.get_mut(&from) else {
            return self.insert(now, from, statement);
        };
        if known.former_boots.contains(&statement.boot) {
            return None;
        }
        if known.statement.boot != statement.boot {
            known.on_restart(statement.boot);
        }
        if statement.events < known.statement.events {
            return None;
        }
        let growth = Growth {
            routes: route_growth(&known.statement.routes, &statement.routes),
            hosts: host_growth(&known.statement.hosts, &statement.hosts),
        };
        known.heard_at = now;
        known.is_gone = false;
        known.statement = statement;
        Some(growth)
    }

    /// Forgets what runs at a daemon that is gone.
    pub(super) fn on_departure(&mut self, daemon: &DaemonId) {
        if let Some(known) = self.known.get_mut(daemon) {
            known.statement.old_in_flight = 0;
            known.statement.new_in_flight = 0;
            known.is_gone = true;
        }
    }

    /// Whether all daemons that have not gone stated their requests in flight after they had closed
    /// the old versions.
    pub(super) fn have_closed_old(&self) -> bool {
        let mut present = self.known.values().filter(|known| !known.is_gone);
        present.all(|known| {
            let record = known.statement.record.as_ref();
            record.is_some_and(|record| {
                matches!(record.phase, RolloutPhase::DrainOld | RolloutPhase::Completed)
            })
        })
    }

    /// Requests in flight to old versions.
    pub(super) fn old_in_flight(&self) -> u64 {
        self.known.values().map(|known| known.statement.old_in_flight).sum()
    }

    /// Requests sent to the service and to the target.
    pub(super) fn sent(&self) -> (u64, u64) {
        self.known.values().fold((0, 0), |(sent, exposed), known| {
            let latest = &known.statement;
            (
                sent + known.former_sent + latest.sent,
                exposed + known.former_exposed + latest.exposed,
            )
        })
    }

    /// Whether a daemon said lately that it holds the target to be bad.
    pub(super) fn hold_bad(&self, now: Instant) -> bool {
        self.known.values().any(|known| {
            known.statement.holds_bad
                && now.saturating_duration_since(known.heard_at) <= JUDGEMENT_AGE
        })
    }

    /// Number of daemons.
    pub(super) fn len(&self) -> usize {
        self.known.len()
    }

    /// Age of the least recent statement among the daemons that are present; `None` without other
    /// daemons.
    pub(super) fn oldest(&self, now: Instant) -> Option<Duration> {
        let present = self.known.values().filter(|known| !known.is_gone);
        present.map(|known| now.saturating_duration_since(known.heard_at)).max()
    }

    fn insert(
        &mut self,
        now: Instant,
        from: DaemonId,
        statement: RolloutStatement,
    ) -> Option<Growth> {
        if self.known.len() >= MAX_DAEMONS {
            return None;
        }
        let growth = Growth {
            routes: route_growth(&[], &statement.routes),
            hosts: host_growth(&[], &statement.hosts),
        };
        let known = Known {
            heard_at: now,
            statement,
            former_boots: Vec::new(),
            former_sent: 0,
            former_exposed: 0,
            is_gone: false,
        };
        self.known.insert(from, known);
        Some(growth)
    }
}

impl Known {
    fn on_restart(&mut self, boot: BootId) {
        self.former_sent += self.statement.sent;
        self.former_exposed += self.statement.exposed;
        if self.former_boots.len() >= FORMER_BOOTS {
            self.former_boots.remove(0);
        }
        self.former_boots.push(self.statement.boot);
        self.statement = RolloutStatement { boot, ..RolloutStatement::default() };
    }
}

use super::{PartCrashes, PartHash, RequestHash, SuspectKind, crash_moments::crash_moments};
use crate::ids::{BoundedMap, EndpointId, FastMap, FastSet, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of crashed runs that are kept; the oldest give way.
const MAX_RUNS: usize = 256;
/// Time for which a crashed run counts.
const RUN_MAX_AGE: Duration = Duration::from_secs(600);
/// Number of parts whose last survival is remembered.
const MAX_SURVIVALS: usize = 8_192;
/// A run that survived so shortly before a crash shows as well that its parts are not the cause.
const CLEARS_BEFORE: Duration = Duration::from_secs(2);

/// A run that had not survived the start of its answer when its endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
    /// Process start of the endpoint, in Unix milliseconds.
    pub boot: u64,
    /// Hash of the request's ID.
    pub request: u64,
    /// Workspace of the caller; empty if the caller belongs to none.
    pub workspace: WorkspaceId,
    /// Whether the endpoint had begun its answer.
    pub has_begun: bool,
    /// Parts of the prompt that may be the cause, in order.
    pub parts: Vec<PartHash>,
    /// The request as a whole, which may be the cause as well.
    pub whole: RequestHash,
}

impl CrashedRun {
    /// All that may be the cause, in order: the parts, then the whole.
    pub fn suspects(&self) -> impl Iterator<Item = PartHash> {
        self.parts.iter().copied().chain([self.whole])
    }

    /// Which kind of suspect something is.
    pub fn kind_of(&self, suspect: PartHash) -> SuspectKind {
        if suspect == self.whole { SuspectKind::Request } else { SuspectKind::Part }
    }

    /// Whether something may be the cause.
    pub fn has_suspect(&self, suspect: PartHash) -> bool {
        self.whole == suspect || self.parts.contains(&suspect)
    }

    /// The crash: the endpoint and its process start.
    pub fn crash(&self) -> (&EndpointId, u64) {
        (&self.endpoint, self.boot)
    }
}

/// Runs that ended with a crash of their endpoint, and prompt parts under which other runs
/// survived, as seen by all daemons.
///
/// A crash ends all runs of its endpoint, so it counts for many parts at first. The part that caused
/// it differs from the others in that no run with it survives.
#[derive(Debug)]
pub struct CrashHistory {
    runs: VecDeque<(Instant, CrashedRun)>,
    survivals: BoundedMap<PartHash, Instant>,
}

impl Default for CrashHistory {
    fn default() -> Self {
        Self { runs: VecDeque::new(), survivals: BoundedMap::new(MAX_SURVIVALS) }
    }
}

impl CrashHistory {
    /// Adds a run whose endpoint crashed at `at`; false if it is known already.
    pub fn add_run(&mut self, now: Instant, at: Instant, run: CrashedRun) -> bool {
        self.runs.retain(|(at, _)| now < *at + RUN_MAX_AGE);
        let is_known = self.runs.iter().any(|(_, known)| {
            known.request == run.request && known.boot == run.boot && known.endpoint == run.endpoint
        });
        if is_known {
            return false;
        }
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back((at, run));
        true
    }

    /// Records that a run with a part had survived by `at`.
    pub fn add_survival(&mut self, at: Instant, part: PartHash) {
        let survival = self.survivals.entry(&part, || at);
        *survival = at.max(*survival);
    }

    /// Time at which a run with the part last survived; `None` if that is not known.
    pub fn survived_at(&self, part: PartHash) -> Option<Instant> {
        self.survivals.peek(&part).copied()
    }

    /// All that ran together with the part where endpoints crashed.
    pub fn suspects_beside(&self, part: PartHash) -> FastSet<PartHash> {
        let runs = self.runs.iter().filter(|(_, run)| run.has_suspect(part));
        runs.flat_map(|(_, run)| run.suspects()).collect()
    }

    /// Crashes that ended runs with the part: their times and endpoints.
    pub fn crashes_of(&self, part: PartHash) -> impl Iterator<Item = (Instant, &EndpointId)> {
        let runs = self.runs.iter().filter(move |(_, run)| run.has_suspect(part));
        runs.map(|(at, run)| (*at, &run.endpoint))
    }

    /// Whether a crash counts for the part: it ended a run with it, and none has survived since.
    pub fn is_open_suspect(&self, part: PartHash) -> bool {
        self.crashes_of(part).any(|(at, _)| !self.is_cleared(part, at))
    }

    /// Whether it is known that a process of an endpoint crashed at `since` or later. It may have been
    /// taken for crashed before, while connections to it were reset.
    pub fn has_crash_since(&self, endpoint: &EndpointId, boot: u64, since: Instant) -> bool {
        self.runs.iter().any(|(at, run)| run.crash() == (endpoint, boot) && *at >= since)
    }

    /// Number of endpoints whose crash counts for the part.
    pub fn open_crashes(&self, part: PartHash) -> usize {
        let runs = self
            .runs
            .iter()
            .filter(|(at, run)| run.has_suspect(part) && !self.is_cleared(part, *at));
        runs.map(|(_, run)| run.crash()).collect::<FastSet<_>>().len()
    }

    /// Whether crashes ended runs with the part.
    pub fn is_suspect(&self, part: PartHash) -> bool {
        self.crashes_of(part).next().is_some()
    }

    /// Whether crashes ended runs with the part and it is cleared of each of them.
    pub fn clears_all_of(&self, part: PartHash) -> bool {
        self.is_suspect(part) && !self.is_open_suspect(part)
    }

    /// Number of moments at which endpoints crashed under the part.
    pub fn crash_moments(&self, part: PartHash) -> usize {
        let mut crashes: FastMap<(&EndpointId, u64), Instant> = FastMap::default();
        for (at, run) in self.runs.iter().filter(|(_, run)| run.has_suspect(part)) {
            let first = crashes.entry(run.crash()).or_insert(*at);
            *first = (*at).min(*first);
        }
        crash_moments(crashes.into_values().collect(), |at| *at).len()
    }

    /// The latest runs, up to `count`, of which something may still be the cause.
    pub fn latest_open_runs(&self, count: usize) -> impl Iterator<Item = &(Instant, CrashedRun)> {
        let is_open = |(at, run): &&(Instant, CrashedRun)| {
            run.suspects().any(|suspect| !self.is_cleared(suspect, *at))
        };
        self.runs.iter().rev().filter(is_open).take(count)
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether a survival at `survived_at` shows that a part did not cause a crash at `at`.
    pub fn clears(survived_at: Instant, at: Instant) -> bool {
        survived_at + CLEARS_BEFORE >= at
    }

    /// Crashes that count for each part under which no run survived. `cause` returns the position of the
    /// suspect of a run that is quarantined already. It explains the crash, which then counts
    ///
    /// - for none of the runs without the cause, which were there by chance,
    /// - for no narrower suspect, whose requests the quarantine of the cause covers,
    /// - but still for wider ones, which may be what the cause has in common with others that crash
    ///   endpoints.
    pub fn crashes_by_part(
        &self,
        now: Instant,
        cause: impl Fn(&CrashedRun) -> Option<usize>,
    ) -> Vec<PartCrashes> {
        let runs = self.runs.iter().filter(|(at, _)| now < *at + RUN_MAX_AGE);
        let explained = runs.clone().filter(|(_, run)| cause(run).is_some());
        let explained: FastSet<(&EndpointId, u64)> =
            explained.map(|(_, run)| run.crash()).collect();
        let mut crashes_by_part: FastMap<PartHash, PartCrashes> = FastMap::default();
        for (at, run) in runs {
            let cause = cause(run);
            if cause.is_none() && explained.contains(&run.crash()) {
                continue;
            }
            let counted = cause.map_or(usize::MAX, |cause| cause + 1);
            let explained_by = cause.and_then(|cause| run.suspects().nth(cause));
            for (position, part) in run.suspects().enumerate().take(counted) {
                if self.is_cleared(part, *at) {
                    continue;
                }
                let kind = run.kind_of(part);
                let new = || PartCrashes::new(part, kind, *at);
                let crashes = crashes_by_part.entry(part).or_insert_with(new);
                crashes.add(*at, run, position, explained_by);
            }
        }
        self.add_unrelated(now, &mut crashes_by_part, |crash| explained.contains(crash));
        crashes_by_part.into_values().collect()
    }

    /// Tells each whole request that met several crashes of those that it did not meet and whose cause
    /// is not known.
    fn add_unrelated(
        &self,
        now: Instant,
        crashes: &mut FastMap<PartHash, PartCrashes>,
        is_explained: impl Fn(&(&EndpointId, u64)) -> bool,
    ) {
        let runs = self.runs.iter().filter(|(at, _)| now < *at + RUN_MAX_AGE);
        let unexplained = runs.filter(|(_, run)| !is_explained(&run.crash()));
        let all: FastMap<(&EndpointId, u64), Instant> =
            unexplained.map(|(at, run)| (run.crash(), *at)).collect();
        let requests = crashes.values_mut().filter(|crashes| crashes.kind == SuspectKind::Request);
        for request in requests.filter(|request| request.crashes() > 1) {
            for ((endpoint, boot), at) in &all {
                if !request.has_crash(endpoint, *boot) {
                    request.add_unrelated(*at);
                }
            }
        }
    }

    /// Whether a run with the part survived after a crash at `at` or shortly before it.
    fn is_cleared(&self, part: PartHash, at: Instant) -> bool {
        self.survived_at(part).is_some_and(|survived| Self::clears(survived, at))
    }
}

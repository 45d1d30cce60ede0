use super::{
    CrashedRun, PartHash, SuspectKind,
    crash_moments::{crash_moments, is_near},
};
use crate::ids::{EndpointId, FastMap, FastSet, WorkspaceId};
use std::time::Instant;

/// Weight of a moment at which an endpoint crashed while it answered a request with the part.
const BEGUN_WEIGHT: usize = 2;

/// Largest weight for a part of the crashes that one narrower suspect in quarantine explains. They
/// make the part the cause only together with crashes of other requests.
const MAX_EXPLAINED_WEIGHT: usize = 4;

#[derive(Clone, Debug)]
struct Crash {
    at: Instant,
    /// The narrower suspect in quarantine that ran there together with the part, if there is one.
    explained_by: Option<PartHash>,
    /// Whether the answer of a run with the part had begun.
    has_begun: bool,
    /// Hashes of the IDs of the requests that it ended.
    requests: FastSet<u64>,
}

/// Crashes that count for one prompt part.
#[derive(Clone, Debug)]
pub struct PartCrashes {
    /// The part.
    pub part: PartHash,
    /// Whether it is a part or a whole request.
    pub kind: SuspectKind,
    /// Hashes of the requests of the crashed runs.
    pub requests: FastSet<u64>,
    /// Workspaces of these runs.
    pub workspaces: FastSet<WorkspaceId>,
    /// Time of the first of these crashes.
    pub first_at: Instant,
    /// Position of the part in the prompt of the latest run, from 0.
    pub position: usize,
    /// Crashes by endpoint and its process start.
    crashes: FastMap<(EndpointId, u64), Crash>,
    /// Crashes of endpoints at which no run with the part was.
    unrelated: Vec<Instant>,
}

impl PartCrashes {
    /// Creates a count without any run.
    pub fn new(part: PartHash, kind: SuspectKind, first_at: Instant) -> Self {
        Self {
            part,
            kind,
            requests: FastSet::default(),
            workspaces: FastSet::default(),
            first_at,
            position: 0,
            crashes: FastMap::default(),
            unrelated: Vec::new(),
        }
    }

    /// Adds a run that ended at `at` and had the part at `position`. `cause` is the suspect of the run
    /// that is in quarantine.
    pub fn add(&mut self, at: Instant, run: &CrashedRun, position: usize, cause: Option<PartHash>) {
        let explained_by = cause.filter(|cause| *cause != self.part);
        let new = Crash { at, explained_by, has_begun: false, requests: FastSet::default() };
        let crash = self.crashes.entry((run.endpoint.clone(), run.boot)).or_insert(new);
        crash.at = crash.at.min(at);
        crash.has_begun |= run.has_begun;
        crash.requests.insert(run.request);
        self.requests.insert(run.request);
        self.workspaces.insert(run.workspace.clone());
        self.first_at = self.first_at.min(at);
        self.position = position;
    }

    /// Whether an endpoint crashed under the part.
    pub fn has_crash(&self, endpoint: &EndpointId, boot: u64) -> bool {
        self.crashes.contains_key(&(endpoint.clone(), boot))
    }

    /// Number of crashed endpoints.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Weight of the crashes: two for each moment at which endpoints crashed while they answered a
    /// request with the part, one if the request may still have been waiting.
    ///
    /// A whole request is seldom at an endpoint by chance, so each endpoint that crashed under it
    /// weighs two, unless others crashed at the same moment without it.
    pub fn weight(&self) -> usize {
        let moments = self.moments();
        match self.kind {
            SuspectKind::Part => weight_of_part(&moments),
            SuspectKind::Request => {
                let crashes = moments.iter().map(|moment| self.crashes_of_request(moment));
                BEGUN_WEIGHT * crashes.sum::<usize>()
            }
        }
    }

    fn moments(&self) -> Vec<Vec<&Crash>> {
        crash_moments(self.crashes.values().collect(), |crash| crash.at)
    }

    /// Number of moments at which endpoints crashed under the part.
    pub fn crash_moments(&self) -> usize {
        self.moments().len()
    }

    /// Records when an endpoint crashed at which no run with the part was.
    pub fn add_unrelated(&mut self, at: Instant) {
        self.unrelated.push(at);
    }

    /// Crashes of a moment that a whole request may have caused: all, or the most that one sending
    /// of it met after the other if the moment has a cause that is no request.
    fn crashes_of_request(&self, moment: &[&Crash]) -> usize {
        let has_unrelated = moment
            .iter()
            .any(|crash| self.unrelated.iter().any(|unrelated| is_near(crash.at, *unrelated)));
        if has_unrelated { most_of_one(moment) } else { moment.len() }
    }

    /// The workspace of all these runs; `None` if they belong to several.
    pub fn only_workspace(&self) -> Option<&WorkspaceId> {
        let mut workspaces = self.workspaces.iter();
        workspaces.next().filter(|_| workspaces.next().is_none())
    }
}

/// Weight of a part by the moments at which endpoints crashed under it.
fn weight_of_part(moments: &[Vec<&Crash>]) -> usize {
    let mut unexplained = 0;
    let mut explained: FastMap<PartHash, usize> = FastMap::default();
    for moment in moments {
        let is_explained = moment.iter().all(|crash| crash.explained_by.is_some());
        let cause = moment.first().and_then(|crash| crash.explained_by).filter(|_| is_explained);
        *cause.map_or(&mut unexplained, |cause| explained.entry(cause).or_default()) +=
            weight_of_begun(moment);
    }
    unexplained
        + explained.into_values().map(|weight| weight.min(MAX_EXPLAINED_WEIGHT)).sum::<usize>()
}

fn weight_of_begun(moment: &[&Crash]) -> usize {
    if moment.iter().any(|crash| crash.has_begun) { BEGUN_WEIGHT } else { 1 }
}

/// Most crashes of a moment that one request met.
fn most_of_one(moment: &[&Crash]) -> usize {
    let mut counts: FastMap<u64, usize> = FastMap::default();
    for request in moment.iter().flat_map(|crash| &crash.requests) {
        *counts.entry(*request).or_default() += 1;
    }
    counts.into_values().max().unwrap_or_default()
}

//! What rollouts of services mean for their endpoints.

use super::{
    AnswerOrigin, AnswerOutcome, EndpointCounts, EndpointEntry, EndpointTable, KnownEndpoint,
    ListedVersion, PickRequest, Picked, VersionGate, endpoint_gate::ServiceGate,
};
use crate::ids::ZoneId;
use std::{sync::Arc, time::Instant};

impl EndpointTable {
    /// What the version of an endpoint may get; all versions are open without a rollout.
    pub fn version_gate(&self, entry: &EndpointEntry) -> VersionGate {
        let rollout = self.rollouts.get(&entry.service);
        rollout.map_or(VersionGate::Open, |rollout| {
            rollout.endpoint_gate(&entry.version, entry.started_unix_ms)
        })
    }

    /// Counts a request that is sent to an endpoint, while a rollout of its service runs. Returns whether
    /// it was counted, so that its end must be counted, too.
    pub fn count_sent(&mut self, now: Instant, entry: &EndpointEntry) -> bool {
        let rollout = self.rollouts.get_mut(&entry.service);
        let running = rollout.filter(|rollout| rollout.is_running());
        running.map(|rollout| rollout.on_sent(now, &entry.version)).is_some()
    }

    /// Counts the end of a request that was counted as sent.
    pub fn count_done(&mut self, entry: &EndpointEntry) {
        if let Some(rollout) = self.rollouts.get_mut(&entry.service) {
            rollout.on_done(&entry.version);
        }
    }

    /// Counts the outcome of a request as evidence for or against the version of its endpoint.
    /// `is_silent` tells that no answer came in time. Returns whether the other daemons should soon
    /// hear of it.
    pub fn count_outcome(
        &mut self,
        now: Instant,
        route: &Arc<str>,
        entry: &EndpointEntry,
        outcome: AnswerOutcome,
        is_silent: bool,
    ) -> bool {
        if outcome == AnswerOutcome::Cut {
            self.count_zone_cut(now, entry);
        }
        let Some(rollout) = self.rollouts.get_mut(&entry.service) else { return false };
        let is_target = rollout.is_target(&entry.version);
        if !is_target && (is_silent || outcome != AnswerOutcome::Ignored) {
            self.zone_silence.on_answer(now, &entry.zone, is_silent);
        }
        if is_target && is_silent && self.zone_silence.is_silent(now, &entry.zone) {
            return false;
        }
        let was_urgent = rollout.is_urgent();
        // Entries of endpoints name no host, so each endpoint counts as a host of its own.
        let origin = AnswerOrigin { zone: Some(&entry.zone), host: Some(&entry.id) };
        rollout.on_answer_from(now, route, &entry.version, origin, outcome);
        rollout.is_urgent() && !was_urgent
    }

    /// Notes that an endpoint was cut, for the rollouts of other services.
    pub fn count_zone_cut(&mut self, now: Instant, entry: &EndpointEntry) {
        let zone: &ZoneId = &entry.zone;
        let others = self.rollouts.iter_mut().filter(|(service, _)| **service != entry.service);
        others.for_each(|(_, rollout)| rollout.on_zone_cut(now, zone));
    }

    /// Endpoints of a service that take requests and whose version fits.
    pub fn version_counts(
        &self,
        now: Instant,
        service: &str,
        fits: impl Fn(&EndpointEntry) -> bool,
    ) -> EndpointCounts {
        let takes_requests = |known: &&KnownEndpoint| {
            known.is_ready() && !self.evacuated.contains(&known.entry.zone)
        };
        let fitting = self.of_service(service).filter(takes_requests);
        fitting.filter(|known| fits(&known.entry)).fold(
            EndpointCounts::default(),
            |counts, known| EndpointCounts {
                ready: counts.ready + 1,
                warm: counts.warm + usize::from(!known.is_cold(now)),
            },
        )
    }

    /// Versions of the endpoints that are registered for a service, and how many of each get requests by
    /// load.
    pub fn listed_versions(&self, service: &str) -> Vec<ListedVersion> {
        let mut listed: Vec<ListedVersion> = Vec::new();
        for known in self.of_service(service) {
            let is_open = known.is_ready()
                && !self.evacuated.contains(&known.entry.zone)
                && self.version_gate(&known.entry) == VersionGate::Open;
            let ready = usize::from(is_open);
            let version = &known.entry.version;
            match listed.iter_mut().find(|listed| listed.version == *version) {
                Some(listed) => listed.ready += ready,
                None => listed.push(ListedVersion { version: version.clone(), ready }),
            }
        }
        listed
    }

    /// Requests of this daemon in flight to endpoints whose version fits, whenever they were sent.
    pub fn version_requests(&self, service: &str, fits: impl Fn(&EndpointEntry) -> bool) -> u64 {
        let fitting = self.of_service(service).filter(|known| fits(&known.entry));
        fitting.map(|known| u64::from(known.work.requests)).sum()
    }

    /// Selects an endpoint of the version on trial.
    pub(super) fn pick_on_trial(&self, now: Instant, req: &PickRequest<'_>) -> Option<Box<Picked>> {
        let is_on_trial = |known: &&KnownEndpoint| {
            known.is_ready()
                && !known.is_removal_due(now)
                && !self.evacuated.contains(&known.entry.zone)
                && self.version_gate(&known.entry) == VersionGate::Trial
                && req.fits_version(&known.entry.version)
        };
        let on_trial: Vec<_> = self.of_service(&req.service.name).filter(is_on_trial).collect();
        let gate = ServiceGate::new(now, req.service, &on_trial);
        let untried = on_trial.iter().filter(|known| !req.excluded.contains(&known.entry.id));
        self.best(now, req, &gate, &on_trial, &untried.collect::<Vec<_>>())
    }
}

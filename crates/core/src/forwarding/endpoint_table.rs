use super::{
    DaemonRanks, EndpointEntry, EndpointScore, EndpointWork, EngineContext, Fault, FormerBoots,
    KnownEndpoint, PartLocation, PartLocations, PeerLoads, Pick, PickInputs, PickRequest, Picked,
    Prompt, RequestWork, ServiceLoad, ServiceRollout, TargetWeights, ZoneSilence,
    endpoint_gate::ServiceGate, load_estimate::MANY_DAEMONS, score_engine, score_plain,
};
use crate::ids::{DaemonId, EndpointId, FastMap, FastSet, ModelId, ServiceId, ZoneId};
use std::time::{Duration, Instant};

/// Backoff after an endpoint rejects a request for lack of capacity.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// Backoff after an engine rejects a request while it is probably loading new weights.
const UPDATING_BACKOFF: Duration = Duration::from_millis(500);

/// Endpoints of all services: their registrations, and their health and load as seen by the
/// daemons.
#[derive(Debug)]
pub struct EndpointTable {
    zone: ZoneId,
    pub(super) endpoints: FastMap<EndpointId, KnownEndpoint>,
    pub(super) by_service: FastMap<ServiceId, Vec<EndpointId>>,
    pub(super) evacuated: FastSet<ZoneId>,
    pub(super) targets: FastMap<ModelId, TargetWeights>,
    pub(super) part_locations: PartLocations,
    pub(super) peers: PeerLoads,
    pub(super) ranks: DaemonRanks,
    pub(super) cold_ratio: f64,
    pub(super) cold_slack: f64,
    /// Time for which an endpoint that leaves still serves.
    pub(super) drain: Duration,
    former_boots: FormerBoots,
    /// Rollouts of services, which decide which versions get requests.
    pub rollouts: FastMap<ServiceId, ServiceRollout>,
    pub(super) zone_silence: ZoneSilence,
}

impl EndpointTable {
    /// Creates an empty table for a daemon in availability zone `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            endpoints: FastMap::default(),
            by_service: FastMap::default(),
            evacuated: FastSet::default(),
            targets: FastMap::default(),
            part_locations: PartLocations::default(),
            peers: PeerLoads::default(),
            ranks: DaemonRanks::default(),
            cold_ratio: 1.0,
            cold_slack: 0.0,
            drain: Duration::ZERO,
            former_boots: FormerBoots::default(),
            rollouts: FastMap::default(),
            zone_silence: ZoneSilence::default(),
        }
    }

    /// Sets the availability zones whose endpoints must not receive requests.
    pub fn set_evacuated(&mut self, zones: FastSet<ZoneId>) {
        self.evacuated = zones;
    }

    /// Adds an endpoint or updates its entry; a new boot under the same name starts with fresh
    /// health and load.
    pub fn insert(&mut self, now: Instant, entry: EndpointEntry) {
        let id = entry.id.clone();
        let known = self.endpoints.get_mut(&id);
        if let Some(known) = known.filter(|known| known.is_same_boot(&entry)) {
            known.update(now, entry);
            return self.update_rank(&id);
        }
        self.remove(&id);
        self.by_service.entry(entry.service.clone()).or_default().push(id.clone());
        let notices = self.former_boots.notices_of(&entry);
        let known = KnownEndpoint::new(now, entry).with_notices(notices);
        self.endpoints.insert(id.clone(), known);
        self.update_rank(&id);
    }

    /// Removes an endpoint; unknown names are ignored.
    pub fn remove(&mut self, id: &EndpointId) {
        let Some(known) = self.endpoints.remove(id) else { return };
        if let Some(of_service) = self.by_service.get_mut(&known.entry.service) {
            of_service.retain(|other| other != id);
        }
        self.former_boots.insert(known.entry, known.notices);
    }

    /// Schedules the removal of an endpoint at `at`, unless its entry is inserted again before. A
    /// removal that is scheduled already does not become later.
    pub fn remove_at(&mut self, id: &EndpointId, at: Instant) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.removal_due = Some(known.removal_due.map_or(at, |due| due.min(at)));
        }
    }

    /// Removes the endpoints whose scheduled removal is due.
    pub fn expire(&mut self, now: Instant) {
        let is_due = |known: &&KnownEndpoint| known.is_removal_due(now);
        let due: Vec<EndpointId> =
            self.endpoints.values().filter(is_due).map(|known| known.entry.id.clone()).collect();
        due.iter().for_each(|id| self.remove(id));
    }

    /// Iterates over the entries of all endpoints, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.endpoints.values().map(|known| &known.entry)
    }

    /// Entry of an endpoint; `None` if it is not registered.
    pub fn entry(&self, id: &str) -> Option<&EndpointEntry> {
        self.endpoints.get(id).map(|known| &known.entry)
    }

    /// Whether the process of an entry should still be running: it is registered as ready and not about
    /// to leave.
    pub fn is_expected_up(&self, entry: &EndpointEntry) -> bool {
        let known = self.endpoints.get(&entry.id);
        known.is_some_and(|known| known.is_same_boot(entry) && known.is_ready())
    }

    /// Load of this daemon on a service, over the endpoints that accept requests. `tokens` is the
    /// size of the requests in prompt tokens, by which a limit on requests bounds a prefill rate.
    pub fn load(&self, now: Instant, service: &str, tokens: u64) -> ServiceLoad {
        let mut load = ServiceLoad::default();
        let open = self.open_endpoints(now, service);
        let is_pausing = |known: &&&KnownEndpoint| !known.notices.pause_wait(now).is_zero();
        let are_all_pausing = open.iter().filter(is_pausing).count() == open.len();
        for known in open.iter().filter(|known| are_all_pausing || !is_pausing(known)) {
            load.endpoints += 1;
            load.in_flight += known.work.requests as usize;
            let prefill = known.prefill_rate.tokens_per_ms();
            // The queue takes this daemon's part of the rate to be one among all daemons.
            let limited = self.limit_share(known).map_or(f64::INFINITY, |share| {
                share * self.ranks.daemons() as f64 * tokens as f64 / 1e3
            });
            load.tokens_per_ms += prefill.min(limited);
        }
        load
    }

    /// Load of this daemon on each engine, for the report to the other daemons.
    pub fn own_work(&self) -> Vec<EndpointWork> {
        let busy = self.endpoints.values().filter(|known| known.work.memory_tokens > 0);
        busy.map(|known| known.work.clone()).collect()
    }

    /// Drains the prompt parts that this daemon sent to engines since the last call.
    pub fn take_new_part_locations(&mut self) -> Vec<PartLocation> {
        self.part_locations.take_unannounced()
    }

    /// Stores another daemon's report of its load on engines at the time `at`.
    pub fn on_peer_work(
        &mut self,
        now: Instant,
        at: Instant,
        daemon: DaemonId,
        work: Vec<EndpointWork>,
    ) {
        self.peers.record_report(now, at, daemon, work);
    }

    /// Records prompt parts that another daemon sent to engines.
    pub fn on_peer_part_locations(&mut self, locations: Vec<PartLocation>) {
        locations.into_iter().for_each(|location| self.part_locations.record(location));
    }

    /// Selects the endpoint with the lowest cost for a request.
    ///
    /// A request that may go to a version on trial does so if one of its endpoints has room.
    pub fn pick(&self, now: Instant, req: &PickRequest<'_>) -> Pick {
        if req.may_expose
            && let Some(picked) = self.pick_on_trial(now, req)
        {
            return Pick::Endpoint(picked);
        }
        let open = self.open_endpoints(now, &req.service.name);
        let fits = |known: &&&KnownEndpoint| {
            req.fits_version(&known.entry.version) && !req.excluded.contains(&known.entry.id)
        };
        let untried: Vec<&&KnownEndpoint> = open.iter().filter(fits).collect();
        if untried.is_empty() {
            return Pick::NoEndpoint;
        }
        let gate = ServiceGate::new(now, req.service, &open);
        match self.best(now, req, &gate, &open, &untried) {
            Some(picked) => Pick::Endpoint(picked),
            None if let Some(left) = self.pause_left(now, &req.service.name, req.excluded) => {
                Pick::Paused(left)
            }
            None => Pick::Busy(self.wait(now, &untried, req.service)),
        }
    }

    /// The endpoint with the lowest cost among those of the `open` ones that were not tried, if it has
    /// room.
    pub(super) fn best(
        &self,
        now: Instant,
        req: &PickRequest<'_>,
        gate: &ServiceGate<'_>,
        open: &[&KnownEndpoint],
        untried: &[&&KnownEndpoint],
    ) -> Option<Box<Picked>> {
        let estimate = self.service_estimate(req, open);
        let engines = req.prompt.map(|prompt| (prompt, self.engine_context(now, req, prompt)));
        let score = |known| match &engines {
            Some((prompt, context)) => self.score_prompt(now, known, req, prompt, *context),
            None => Some(score_plain(now, known, &self.zone, req, estimate.as_ref())),
        };
        let usable = untried.iter().filter(|known| self.hold(now, known, gate).is_none());
        let scored = usable.filter_map(|known| Some((score(known)?, **known)));
        let mut candidates = 0;
        let scored = scored.inspect(|_| candidates += 1);
        let best = scored.min_by(|(a, _), (b, _)| a.cost.total_cmp(&b.cost));
        let (score, known) = best.filter(|(score, _)| score.has_room)?;
        Some(Box::new(Picked {
            entry: known.entry.clone(),
            version: score.version,
            work: score.work,
            inputs: self.inputs(now, known, candidates),
        }))
    }

    /// Records that a request was sent to the selected endpoint.
    pub fn on_sent(&mut self, now: Instant, picked: &Picked, req: &PickRequest<'_>) {
        let id = &picked.entry.id;
        let cold_share =
            self.endpoints.get(id).and_then(|known| self.cold_share(req.service, known));
        let limit_share = self.endpoints.get(id).and_then(|known| self.limit_share(known));
        let Some(known) = self.endpoints.get_mut(id) else { return };
        if let (Some(limit), Some(share)) = (&mut known.advertised_limit, limit_share) {
            limit.on_sent(now, share);
        }
        known.add(&picked.work);
        known.recent_sends.add(now);
        known.notices.on_sent(now);
        let cold = known.cold.as_mut().filter(|cold| cold.is_cold(now));
        if let (Some(cold), Some(per_s)) = (cold, cold_share) {
            cold.on_sent(now, per_s);
        }
        if let Some(part) = req.part {
            let engine = known.entry.id.clone();
            let tokens = req.prompt.map_or(0, Prompt::memory_tokens);
            self.part_locations.record_own(PartLocation { part, engine, tokens });
        }
    }

    /// Records the start of an answer, `time` after the request was sent.
    pub fn on_answer_started(&mut self, id: &str, work: &RequestWork, time: Duration) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        known.begin(work);
        known.prefill_rate.add_sample(work.unread_tokens, time);
        known.on_answer_time(time);
    }

    /// Records the end of a request, whatever its outcome.
    pub fn on_request_done(&mut self, id: &str, work: &RequestWork, has_begun: bool) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        if !has_begun {
            known.begin(work);
        }
        known.end(work);
    }

    /// Records an answer, with the numbers of running and waiting requests if the endpoint reported
    /// them.
    pub fn on_answer(&mut self, now: Instant, id: &str, load: Option<(u32, u32)>) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        known.health.on_answer(now);
        if let Some((running, waiting)) = load {
            known.on_load(now, running + waiting);
        }
    }

    /// Whether an endpoint has answered any request of this daemon at or after `since`.
    pub fn has_answered_since(&self, id: &str, since: Instant) -> bool {
        self.endpoints.get(id).is_some_and(|known| known.health.has_answered_since(since))
    }

    /// Records a failed attempt, and puts the endpoint in backoff if the fault calls for it.
    pub fn on_fault(&mut self, now: Instant, id: &str, fault: Fault) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        if fault == Fault::NotExecuted {
            let is_updating = known.entry.weights.iter().any(|(model, version)| {
                self.targets.get(model).is_some_and(|target| *version < target.version())
            });
            let backoff = if is_updating { UPDATING_BACKOFF } else { FULL_BACKOFF };
            known.health.back_off(now + backoff);
        }
        if fault.counts_against_health() {
            known.health.on_fault(now, fault);
        }
    }

    /// Records that an endpoint is cold for `cold_for` from now.
    pub fn on_cold(&mut self, now: Instant, id: &str, cold_for: Duration) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.set_cold(now, cold_for);
        }
        self.update_rank(id);
    }

    /// Puts an endpoint in backoff until `until`, for example while it loads weights.
    pub fn back_off(&mut self, id: &str, until: Instant) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.health.back_off(until);
        }
    }

    /// Ends a backoff that was requested.
    pub fn end_requested_backoff(&mut self, now: Instant, id: &str) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.health.end_requested_backoff(now);
        }
    }

    fn inputs(&self, now: Instant, known: &KnownEndpoint, candidates: usize) -> PickInputs {
        let peers = self.peers.total_at(now, &known.entry.id);
        PickInputs {
            candidates,
            requests: known.work.requests + peers.requests,
            unread_tokens: known.work.unread_tokens + peers.unread_tokens,
            load_report: known.load_report(now),
            work_time: known.work_time.sample(now),
            failure_rate: known.health.failure_rate(now),
            is_cold: known.is_cold(now),
            limit_per_s: known.limit_per_s(),
        }
    }

    /// What the scores of all engines for a request have in common.
    fn engine_context(
        &self,
        now: Instant,
        req: &PickRequest<'_>,
        prompt: &Prompt,
    ) -> EngineContext<'_> {
        let memory = memory_tokens(req);
        let is_resident_anywhere =
            req.part.is_some_and(|part| self.part_locations.is_resident_anywhere(part, memory));
        let target = self.targets.get(&prompt.model);
        let has_many = self.ranks.daemons() >= MANY_DAEMONS;
        let peers_age = if has_many { self.peers.mean_age(now) } else { Duration::ZERO };
        EngineContext {
            is_resident: false,
            is_resident_anywhere,
            target,
            peers: &self.peers,
            peers_age,
        }
    }

    fn score_prompt(
        &self,
        now: Instant,
        known: &KnownEndpoint,
        req: &PickRequest<'_>,
        prompt: &Prompt,
        context: EngineContext<'_>,
    ) -> Option<EndpointScore> {
        let memory = memory_tokens(req);
        let is_resident = req
            .part
            .is_some_and(|part| self.part_locations.is_resident(part, &known.entry.id, memory));
        score_engine(now, known, req, prompt, EngineContext { is_resident, ..context })
    }
}

fn memory_tokens(req: &PickRequest<'_>) -> u64 {
    req.service.engine.as_ref().map_or(0, |engine| engine.memory_tokens)
}

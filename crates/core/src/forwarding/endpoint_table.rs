use super::{ColdRate, EndpointEntry, EndpointPhase, Fault, Prompt, Service};
use crate::ids::{
    BoundedMap, EndpointId, FastMap, FastSet, ModelId, ServiceId, ZoneId, stable_hash,
};
use std::time::{Duration, Instant};

/// Share of the newest outcome in an endpoint's failure rate.
const FAILURE_WEIGHT: f64 = 0.3;
/// Time in which the failure rate of an endpoint that gets nothing falls to half.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Failure rate above which an endpoint is rested.
const REST_ABOVE: f64 = 0.6;
/// First rest of an endpoint that fails; it doubles with each further one.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Longest rest.
const MAX_REST: Duration = Duration::from_secs(8);
/// Endpoints of a service that rest at once, as a divisor of all.
const REST_DIVISOR: usize = 3;
/// Rest after a refusal for lack of room.
const FULL_REST: Duration = Duration::from_millis(150);
/// Rest after a refusal of an engine that is likely to be changing its weights.
const CHANGING_REST: Duration = Duration::from_millis(500);
/// Time after which a load report counts for nothing.
const LOAD_REPORT_AGE: Duration = Duration::from_secs(1);
/// Cost of another availability zone, in slots.
const OTHER_ZONE_SLOTS: f64 = 0.25;
/// Cost of a failure rate of one, in slots.
const FAILURE_SLOTS: f64 = 6.0;
/// Work that another daemon's request on an engine is taken for, in prompt tokens.
const OTHERS_WORK_TOKENS: f64 = 1_500.0;
/// Cost of a failure rate of one at an engine, in prompt tokens.
const FAILURE_TOKENS: f64 = 60_000.0;
/// Time after newer weights were named in which older ones cost nothing.
const NEW_WEIGHTS_GRACE: Duration = Duration::from_millis(1_300);
/// Cost of older weights after that, in prompt tokens.
const OLD_WEIGHTS_TOKENS: f64 = 8_000.0;
/// Cost of a token beyond an engine's memory, in prompt tokens.
const NO_MEMORY_TOKENS: f64 = 4.0;
/// Cost of a token that is fetched from a store in the zone, in tokens that are read.
const FETCH_COST: f64 = 0.25;
/// The same from a store in another availability zone.
const FAR_FETCH_COST: f64 = 0.5;
/// Prompt parts whose last engine is remembered.
const REMEMBERED_PARTS: usize = 4_096;
/// Time for which a part is taken to be in the memory of the engine that last read it.
const KEPT_FOR: Duration = Duration::from_secs(20);
/// Part of a cold endpoint's rate that is used, in percent.
const COLD_RATE_PERCENT: f64 = 80.0;
/// Time before the bound on old weights at which requests stop going to them.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(700);

/// What a request needs of an endpoint.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// Service.
    pub service: &'a Service,
    /// Prompt, for a service of model engines.
    pub prompt: Option<&'a Prompt>,
    /// Availability zones of the stores that hold the last shared part of the prompt.
    pub stored_in: &'a [ZoneId],
    /// Endpoints not to be chosen.
    pub excluded: &'a [EndpointId],
    /// Time for which older weights may still be used after newer ones were named.
    pub old_weights_for: Duration,
    /// Number that settles ties, spread evenly.
    pub spread: u64,
}

/// Endpoint that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Picked {
    /// Its entry.
    pub entry: EndpointEntry,
    /// Weight version that the request must run on.
    pub version: Option<u64>,
    /// Whether it is cold.
    pub is_cold: bool,
    /// Cost by which it was chosen.
    pub cost: f64,
}

/// Outcome of choosing an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// An endpoint.
    Endpoint(Box<Picked>),
    /// All that could take the request are cold, full, resting or changing weights; room is
    /// expected after this time.
    Busy(Duration),
    /// The service has no endpoint.
    Nowhere,
}

/// Load of a service, for logs and the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Endpoints known.
    pub endpoints: usize,
    /// Requests of this daemon that run there.
    pub in_flight: usize,
}

#[derive(Clone, Debug)]
struct Known {
    entry: EndpointEntry,
    name_hash: u64,
    in_flight: u32,
    work_tokens: u64,
    memory_tokens: u64,
    others: f64,
    others_at: Instant,
    failure_rate: f64,
    failure_rate_at: Instant,
    rests: u32,
    rest_until: Instant,
    /// One request at a time until one succeeds.
    is_on_trial: bool,
    cold: Option<ColdRate>,
    answered_at: Option<Instant>,
    /// Not to be used though listed: its answers or other daemons say that it leaves.
    is_leaving: bool,
    /// Time at which it counts as gone, after its entry was missing at the store's return.
    gone_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    version: u64,
    since: Instant,
}

/// Endpoints of all services: what they say of themselves and what this daemon saw of them.
#[derive(Debug)]
pub struct EndpointTable {
    zone: ZoneId,
    endpoints: FastMap<EndpointId, Known>,
    by_service: FastMap<ServiceId, Vec<EndpointId>>,
    evacuated: FastSet<ZoneId>,
    wanted: FastMap<ModelId, Wanted>,
    kept_at: BoundedMap<String, (EndpointId, Instant)>,
    daemons: usize,
}

impl EndpointTable {
    /// Makes an empty table for a daemon in an availability zone.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            endpoints: FastMap::default(),
            by_service: FastMap::default(),
            evacuated: FastSet::default(),
            wanted: FastMap::default(),
            kept_at: BoundedMap::new(REMEMBERED_PARTS),
            daemons: 1,
        }
    }

    /// Sets the number of daemons that share the bounds of cold endpoints.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Sets the availability zones whose endpoints must get no requests.
    pub fn set_evacuated(&mut self, zones: FastSet<ZoneId>) {
        self.evacuated = zones;
    }

    /// Sets the newest weight version of a model.
    pub fn set_wanted(&mut self, now: Instant, model: ModelId, version: u64) {
        let is_newer = self.wanted.get(&model).is_none_or(|wanted| version > wanted.version);
        if is_newer {
            self.wanted.insert(model, Wanted { version, since: now });
        }
    }

    /// Newest weight version of a model.
    pub fn wanted(&self, model: &str) -> Option<u64> {
        self.wanted.get(model).map(|wanted| wanted.version)
    }

    /// Takes an endpoint's entry, new or changed.
    pub fn insert(&mut self, now: Instant, mut entry: EndpointEntry) {
        let cold_until = now + entry.cold_left;
        let cold = (!entry.cold_left.is_zero()).then(|| ColdRate::new(now, cold_until));
        let same_boot =
            self.endpoints.get_mut(&entry.id).filter(|known| is_same_boot(&known.entry, &entry));
        if let Some(known) = same_boot {
            for (model, version) in &mut entry.weights {
                let seen = known.entry.version_of(model).unwrap_or_default();
                *version = seen.max(*version);
            }
            match (&mut known.cold, cold) {
                (Some(known), Some(_)) => known.extend(cold_until),
                (known, Some(cold)) => *known = Some(cold),
                (_, None) => {}
            }
            known.is_leaving &= entry.phase == EndpointPhase::Ready;
            known.gone_at = None;
            known.entry = entry;
            return;
        }
        self.remove(&entry.id.clone());
        let of_service = self.by_service.entry(entry.service.clone()).or_default();
        of_service.push(entry.id.clone());
        let known = Known {
            name_hash: stable_hash(entry.id.as_bytes()),
            in_flight: 0,
            work_tokens: 0,
            memory_tokens: 0,
            others: 0.0,
            others_at: now,
            failure_rate: 0.0,
            failure_rate_at: now,
            rests: 0,
            rest_until: now,
            is_on_trial: false,
            cold,
            answered_at: None,
            is_leaving: false,
            gone_at: None,
            entry,
        };
        self.endpoints.insert(known.entry.id.clone(), known);
    }

    /// Takes an endpoint out.
    pub fn remove(&mut self, id: &EndpointId) {
        let Some(known) = self.endpoints.remove(id) else { return };
        if let Some(of_service) = self.by_service.get_mut(&known.entry.service) {
            of_service.retain(|other| other != id);
        }
    }

    /// Takes an endpoint out at `at` unless its entry comes back first.
    pub fn remove_at(&mut self, id: &EndpointId, at: Instant) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.gone_at.get_or_insert(at);
        }
    }

    /// Takes out the endpoints whose entry did not come back in time.
    pub fn expire(&mut self, now: Instant) {
        let gone = |known: &&Known| known.gone_at.is_some_and(|at| now >= at);
        let gone: Vec<EndpointId> =
            self.endpoints.values().filter(gone).map(|known| known.entry.id.clone()).collect();
        gone.iter().for_each(|id| self.remove(id));
    }

    /// Goes over the entries of all endpoints.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.endpoints.values().map(|known| &known.entry)
    }

    /// Entry of an endpoint.
    pub fn entry(&self, id: &str) -> Option<&EndpointEntry> {
        self.endpoints.get(id).map(|known| &known.entry)
    }

    /// Load that this daemon brings to a service.
    pub fn load(&self, service: &str) -> ServiceLoad {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let known = ids.iter().filter_map(|id| self.endpoints.get(id));
        let in_flight = known.map(|known| known.in_flight as usize).sum();
        ServiceLoad { endpoints: ids.len(), in_flight }
    }

    /// Chooses the endpoint of a request.
    pub fn pick(&mut self, now: Instant, req: &PickRequest<'_>) -> Pick {
        let Some(ids) = self.by_service.get(&req.service.name) else { return Pick::Nowhere };
        let cold_per_s = self.cold_per_s(req.service);
        let candidates: Vec<&Known> = ids
            .iter()
            .filter_map(|id| self.endpoints.get(id))
            .filter(|k| self.is_open(k))
            .collect();
        if candidates.is_empty() {
            return Pick::Nowhere;
        }
        let may_rest = self.may_rest(now, &candidates);
        let usable = candidates.iter().filter(|known| {
            let is_resting = may_rest && now < known.rest_until;
            let is_tried = known.is_on_trial && known.in_flight > 0 && candidates.len() > 1;
            !req.excluded.contains(&known.entry.id)
                && !is_resting
                && !is_tried
                && known.cold.as_ref().is_none_or(|cold| cold.may_send(now, cold_per_s))
        });
        let costs = usable.filter_map(|known| {
            let (cost, version) = match req.prompt {
                Some(prompt) => self.engine_cost(now, known, req, prompt)?,
                None => (self.plain_cost(now, known, req.spread), None),
            };
            Some((cost, version, *known))
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        match best {
            Some((cost, version, known)) => Pick::Endpoint(Box::new(Picked {
                entry: known.entry.clone(),
                version,
                is_cold: known.cold.as_ref().is_some_and(|cold| cold.is_cold(now)),
                cost,
            })),
            None => Pick::Busy(self.wait(now, &candidates, cold_per_s)),
        }
    }

    /// Counts a request that is sent to an endpoint.
    pub fn on_sent(&mut self, now: Instant, id: &str, service: &Service, prompt: Option<&Prompt>) {
        let cold_per_s = self.cold_per_s(service);
        let Some(known) = self.endpoints.get_mut(id) else { return };
        known.in_flight += 1;
        if let Some(cold) = known.cold.as_mut().filter(|cold| cold.is_cold(now)) {
            cold.on_sent(now, cold_per_s);
        }
        let Some(prompt) = prompt else { return };
        known.work_tokens += prompt.work_tokens();
        known.memory_tokens += prompt.memory_tokens();
        if let Some(part) = prompt.shared_part() {
            let place = (known.entry.id.clone(), now);
            let kept = self.kept_at.entry(&part.id, || place.clone());
            *kept = place;
        }
    }

    /// Counts the end of a request, whatever its outcome.
    pub fn on_done(&mut self, id: &str, prompt: Option<&Prompt>) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        known.in_flight = known.in_flight.saturating_sub(1);
        if let Some(prompt) = prompt {
            known.work_tokens = known.work_tokens.saturating_sub(prompt.work_tokens());
            known.memory_tokens = known.memory_tokens.saturating_sub(prompt.memory_tokens());
        }
    }

    /// Takes note of an answer, which may carry the requests that the endpoint runs and holds.
    pub fn on_answer(&mut self, now: Instant, id: &str, load: Option<(u32, u32)>) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        known.note_outcome(now, 0.0);
        known.answered_at = Some(now);
        known.is_on_trial = false;
        known.rests = 0;
        if let Some((running, waiting)) = load {
            known.others = f64::from((running + waiting).saturating_sub(known.in_flight));
            known.others_at = now;
        }
    }

    /// Whether an endpoint has answered any request of this daemon since a time.
    pub fn has_answered_since(&self, id: &str, since: Instant) -> bool {
        let answered_at = self.endpoints.get(id).and_then(|known| known.answered_at);
        answered_at.is_some_and(|at| at >= since)
    }

    /// Takes note of a failed sending.
    pub fn on_fault(&mut self, now: Instant, id: &str, fault: Fault) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        if fault == Fault::NotExecuted {
            let changes = known.entry.weights.iter().any(|(model, version)| {
                self.wanted.get(model).is_some_and(|wanted| *version < wanted.version)
            });
            let rest = if changes { CHANGING_REST } else { FULL_REST };
            known.rest_until = known.rest_until.max(now + rest);
        }
        if !fault.is_unhealthy() {
            return;
        }
        known.note_outcome(now, 1.0);
        let is_dead = fault == Fault::ConnectFailed;
        if is_dead || known.is_on_trial || known.failure_rate > REST_ABOVE {
            let rest = (FIRST_REST * 2u32.pow(known.rests.min(6))).min(MAX_REST);
            known.rests += 1;
            known.rest_until = known.rest_until.max(now + rest);
            known.is_on_trial = true;
        }
    }

    /// Takes note that an endpoint runs another weight version than was known.
    pub fn on_weights(&mut self, id: &str, model: &ModelId, version: u64) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        match known.entry.weights.iter_mut().find(|(name, _)| name == model) {
            Some((_, seen)) => *seen = version.max(*seen),
            None => known.entry.weights.push((model.clone(), version)),
        }
    }

    /// Takes note that an endpoint is cold for some time.
    pub fn on_cold(&mut self, now: Instant, id: &str, cold_for: Duration) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        match known.cold.as_mut().filter(|cold| cold.is_cold(now)) {
            Some(cold) => cold.extend(now + cold_for),
            None => known.cold = Some(ColdRate::new(now, now + cold_for)),
        }
    }

    /// Keeps requests from an endpoint for some time, such as while it changes weights.
    pub fn rest(&mut self, id: &str, until: Instant) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.rest_until = known.rest_until.max(until);
        }
    }

    /// Ends a rest that another daemon asked for.
    pub fn wake(&mut self, id: &str) {
        if let Some(known) = self.endpoints.get_mut(id).filter(|known| known.rests == 0) {
            known.rest_until = known.others_at;
        }
    }

    fn is_open(&self, known: &Known) -> bool {
        known.entry.phase == EndpointPhase::Ready
            && !known.is_leaving
            && !self.evacuated.contains(&known.entry.zone)
    }

    /// Whether resting endpoints may be left out: most of the service must remain.
    fn may_rest(&self, now: Instant, candidates: &[&Known]) -> bool {
        let resting = candidates.iter().filter(|known| now < known.rest_until).count();
        resting < candidates.len()
            && (resting <= candidates.len().div_ceil(REST_DIVISOR) || {
                let dead =
                    candidates.iter().filter(|known| known.rests > 0 && now < known.rest_until);
                dead.count() <= candidates.len() / 2
            })
    }

    fn cold_per_s(&self, service: &Service) -> f64 {
        service.cold_per_s * COLD_RATE_PERCENT / 100.0 / self.daemons as f64
    }

    fn plain_cost(&self, now: Instant, known: &Known, spread: u64) -> f64 {
        let slots = f64::from(known.entry.slots.max(1));
        let zone = if known.entry.zone == self.zone { 0.0 } else { OTHER_ZONE_SLOTS };
        let load = f64::from(known.in_flight) + known.others(now) + zone;
        let tie = (stable_hash(&(known.name_hash ^ spread).to_le_bytes()) % 1_000) as f64 * 1e-5;
        (load + known.failures(now) * FAILURE_SLOTS + tie) / slots
    }

    /// Cost of an engine in prompt tokens that are read before the first token of the answer.
    fn engine_cost(
        &self,
        now: Instant,
        known: &Known,
        req: &PickRequest<'_>,
        prompt: &Prompt,
    ) -> Option<(f64, Option<u64>)> {
        let version = known.entry.version_of(&prompt.model);
        let wanted = self.wanted.get(&prompt.model);
        let is_old = wanted.is_some_and(|wanted| version.is_some_and(|v| v < wanted.version));
        let old = match wanted {
            Some(wanted) if is_old => {
                let bound = wanted.since + req.old_weights_for.saturating_sub(OLD_WEIGHTS_MARGIN);
                if now >= bound {
                    return None;
                }
                if now < wanted.since + NEW_WEIGHTS_GRACE { 0.0 } else { OLD_WEIGHTS_TOKENS }
            }
            _ => 0.0,
        };
        let shared = prompt.shared_part();
        let is_kept = shared.is_some_and(|part| self.is_kept(now, known, &part.id));
        let shared_tokens = shared.map_or(0, |part| part.tokens.min(prompt.tokens)) as f64;
        let bringing = match () {
            () if is_kept => 0.0,
            () if req.stored_in.contains(&known.entry.zone) => shared_tokens * FETCH_COST,
            () if !req.stored_in.is_empty() => shared_tokens * FAR_FETCH_COST,
            () => shared_tokens,
        };
        let queue = known.work_tokens as f64 + known.others(now) * OTHERS_WORK_TOKENS;
        let memory = req.service.engine.as_ref().map_or(u64::MAX, |engine| engine.memory_tokens);
        let over = (known.memory_tokens + prompt.memory_tokens()).saturating_sub(memory);
        let affinity = match shared {
            Some(part) => distance(known.name_hash, &part.id),
            None => 0.0,
        };
        // The first endpoint in the order of a part is where all daemons send it.
        let cost = prompt.tokens as f64 - shared_tokens
            + bringing
            + queue
            + old
            + over as f64 * NO_MEMORY_TOKENS
            + known.failures(now) * FAILURE_TOKENS
            + affinity * bringing;
        Some((cost, version))
    }

    fn is_kept(&self, now: Instant, known: &Known, part: &str) -> bool {
        let kept = self.kept_at.peek(&part.to_owned());
        kept.is_some_and(|(id, at)| *id == known.entry.id && now < *at + KEPT_FOR)
    }

    fn wait(&self, now: Instant, candidates: &[&Known], cold_per_s: f64) -> Duration {
        let waits = candidates.iter().map(|known| {
            let rest = known.rest_until.saturating_duration_since(now);
            let cold = known.cold.as_ref().filter(|cold| cold.is_cold(now));
            rest.max(cold.map_or(Duration::ZERO, |cold| cold.wait(now, cold_per_s)))
        });
        waits.min().unwrap_or_default()
    }
}

impl Known {
    /// Failure rate, which fades while nothing is sent.
    fn failures(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failure_rate_at);
        self.failure_rate * 0.5f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn note_outcome(&mut self, now: Instant, failure: f64) {
        self.failure_rate = self.failures(now) * (1.0 - FAILURE_WEIGHT) + failure * FAILURE_WEIGHT;
        self.failure_rate_at = now;
    }

    /// Requests of other daemons that it is taken to have.
    fn others(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.others_at);
        let fresh = 1.0 - age.as_secs_f64() / LOAD_REPORT_AGE.as_secs_f64();
        self.others * fresh.max(0.0)
    }
}

fn is_same_boot(known: &EndpointEntry, entry: &EndpointEntry) -> bool {
    known.born_unix_ms == entry.born_unix_ms
        && known.address == entry.address
        && known.service == entry.service
}

/// Place of an endpoint in the order of a prompt part, from 0 to 1.
fn distance(name_hash: u64, part: &str) -> f64 {
    let hash = stable_hash(&(name_hash ^ stable_hash(part.as_bytes())).to_le_bytes());
    hash as f64 / u64::MAX as f64
}

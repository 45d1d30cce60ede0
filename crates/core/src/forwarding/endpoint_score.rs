use super::{KnownEndpoint, PeerLoads, PickRequest, Prompt, ServiceEstimate, TargetWeights};
use crate::ids::{ZoneId, stable_hash};
use std::time::{Duration, Instant};

/// Cost of an endpoint in another availability zone, in requests.
const OTHER_ZONE_REQUESTS: f64 = 0.25;
/// Cost of a failure rate of 1.0 at a plain endpoint, in requests.
const FAILURE_REQUESTS: f64 = 6.0;
/// Cost of a failure rate of 1.0 at an engine, in prompt tokens.
const FAILURE_TOKENS: f64 = 60_000.0;
/// Time after a weight update in which older versions have no extra cost.
const NEW_WEIGHTS_GRACE: Duration = Duration::from_millis(1_300);
/// Cost of an older weight version after that, in prompt tokens.
const OLD_WEIGHTS_TOKENS: f64 = 8_000.0;
/// Margin before the limit for older weight versions at which no more requests are sent to them,
/// since a request may wait in the engine's queue before it starts.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);
/// Cost of a token fetched from a cache store in the same zone, relative to prefilling it.
const FETCH_COST: f64 = 0.25;
/// Cost of a token fetched from a cache store in another zone, relative to prefilling it.
const OTHER_ZONE_FETCH_COST: f64 = 0.5;
/// Cost of prefilling a token that another engine already holds, relative to prefilling any other
/// token: a redundant prefill delays all other requests, while waiting for that engine delays only
/// this one.
const REDUNDANT_PREFILL_COST: f64 = 2.5;
/// Cost of waiting for a running request to finish, in prompt tokens.
const FULL_TOKENS: f64 = 15_000.0;
/// Maximum prefill time queued at an engine. Further requests wait at the daemon, where the most
/// urgent is served first and any engine may take it.
const MAX_QUEUED_PREFILL: Duration = Duration::from_millis(250);
/// Maximum percentage of an engine's memory to fill with running requests.
const MEMORY_PERCENT: u64 = 95;

/// Load that a request adds to the endpoint it is sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestWork {
    /// Prompt tokens to prefill or fetch, the latter converted to the equivalent prefill tokens.
    pub unread_tokens: u64,
    /// KV-cache tokens that the request occupies.
    pub memory_tokens: u64,
}

/// Suitability of an endpoint for a request.
#[derive(Clone, Debug)]
pub struct EndpointScore {
    /// Cost; the endpoint with the lowest cost is selected.
    pub cost: f64,
    /// Weight version that the request must run on; `None` for a plain service.
    pub version: Option<u64>,
    /// Load that the request would add.
    pub work: RequestWork,
    /// Whether the endpoint has capacity now.
    pub has_room: bool,
}

/// Scores an endpoint of a plain service by its requests per slot, plus the costs of recent failures
/// and of another zone. With an `estimate`, it replaces what answers say of the load, and the speed of
/// the host counts.
pub fn score_plain(
    now: Instant,
    known: &KnownEndpoint,
    zone: &ZoneId,
    req: &PickRequest<'_>,
    estimate: Option<&ServiceEstimate>,
) -> EndpointScore {
    let zone_cost = if known.entry.zone == *zone { 0.0 } else { OTHER_ZONE_REQUESTS };
    let failures = known.health.failure_rate(now) * FAILURE_REQUESTS;
    let tie = stable_hash(&(known.name_hash ^ req.tie_breaker).to_le_bytes()) % 1_000;
    if let Some(estimate) = estimate {
        return estimate.score(now, known, zone_cost + failures + tie as f64 * 1e-5);
    }
    let load = f64::from(known.work.requests) + known.other_requests(now) + zone_cost;
    let slots = f64::from(known.entry.slots.max(1));
    EndpointScore {
        cost: (load + failures + tie as f64 * 1e-5) / slots,
        version: None,
        work: RequestWork::default(),
        has_room: true,
    }
}

/// Inputs for scoring an engine beyond the engine's own state.
#[derive(Clone, Copy, Debug)]
pub struct EngineContext<'a> {
    /// Whether the engine probably holds the prompt's last shared part in memory.
    pub is_resident: bool,
    /// Whether any engine probably holds that part in memory.
    pub is_resident_anywhere: bool,
    /// Target weight version of the model; `None` before any update is announced.
    pub target: Option<&'a TargetWeights>,
    /// Load of the other daemons.
    pub peers: &'a PeerLoads,
    /// Mean age of what they reported, for which engines have prefilled since; zero to take it as
    /// it is.
    pub peers_age: Duration,
}

/// Scores an engine by the prefill work before the first token; `None` if its weights are too old.
///
/// Requests that share a part are sent to the engine that probably holds it, until the queue there
/// costs more than prefilling or fetching the part elsewhere. If the best engine has no capacity,
/// the request waits for it.
pub fn score_engine(
    now: Instant,
    known: &KnownEndpoint,
    req: &PickRequest<'_>,
    prompt: &Prompt,
    context: EngineContext<'_>,
) -> Option<EndpointScore> {
    let version = known.entry.version_of(&prompt.model);
    let old_weights = old_weights_cost(now, version, context.target, req.old_weights_limit)?;
    let shared = prompt.shared_part();
    let shared_tokens = shared.map_or(0, |part| part.tokens.min(prompt.tokens)) as f64;
    let shared_cost = match () {
        () if context.is_resident => 0.0,
        () if req.stored_in.contains(&known.entry.zone) => shared_tokens * FETCH_COST,
        () if !req.stored_in.is_empty() => shared_tokens * OTHER_ZONE_FETCH_COST,
        () if context.is_resident_anywhere => shared_tokens * REDUNDANT_PREFILL_COST,
        () => shared_tokens,
    };
    let prefill = prompt.tokens as f64 - shared_tokens + shared_cost.min(shared_tokens);
    let others = context.peers.total_at(now, &known.entry.id);
    let prefilled = known.prefill_rate.tokens_per_ms() * context.peers_age.as_secs_f64() * 1e3;
    let others_queued = (others.unread_tokens as f64 - prefilled).max(0.0);
    let queued = known.work.unread_tokens as f64 + others_queued;
    let rank = shared.map_or(0.0, |part| rendezvous_rank(known.name_hash, &part.id));
    let work = RequestWork { unread_tokens: prefill as u64, memory_tokens: prompt.memory_tokens() };
    let requests = known.work.requests + others.requests;
    let memory = known.work.memory_tokens + others.memory_tokens + work.memory_tokens;
    let capacity = req.service.engine.as_ref();
    let fits_memory = capacity
        .is_none_or(|engine| memory <= engine.memory_tokens * MEMORY_PERCENT / 100)
        || requests == 0;
    let fits_slots = capacity.is_none_or(|engine| requests < engine.slots);
    let max_queued = known.prefill_rate.tokens_per_ms() * MAX_QUEUED_PREFILL.as_secs_f64() * 1e3;
    let fits_queue = queued == 0.0 || queued + prefill <= max_queued;
    let is_full = !fits_memory || !fits_slots;
    Some(EndpointScore {
        cost: prompt.tokens as f64 - shared_tokens
            + shared_cost
            + queued
            + (known.work_time.factor(now) - 1.0) * (prefill + queued)
            + if is_full { FULL_TOKENS } else { 0.0 }
            + old_weights
            + known.health.failure_rate(now) * FAILURE_TOKENS
            + rank * shared_cost,
        version,
        work,
        has_room: fits_memory && fits_slots && fits_queue,
    })
}

/// Cost of an engine's weight version; `None` if it is too old to use.
fn old_weights_cost(
    now: Instant,
    version: Option<u64>,
    target: Option<&TargetWeights>,
    old_weights_limit: Duration,
) -> Option<f64> {
    let outdated_since =
        target.zip(version).and_then(|(target, version)| target.outdated_since(version));
    let Some(since) = outdated_since else { return Some(0.0) };
    let bound = since + old_weights_limit.saturating_sub(OLD_WEIGHTS_MARGIN);
    match () {
        () if now >= bound => None,
        () if now < since + NEW_WEIGHTS_GRACE => Some(0.0),
        () => Some(OLD_WEIGHTS_TOKENS),
    }
}

/// Rank of an endpoint for a prompt part, 0 to 1, by rendezvous hashing; all daemons compute the
/// same rank.
fn rendezvous_rank(name_hash: u64, part: &str) -> f64 {
    let hash = stable_hash(&(name_hash ^ stable_hash(part.as_bytes())).to_le_bytes());
    hash as f64 / u64::MAX as f64
}

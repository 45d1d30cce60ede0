use super::{KnownEndpoint, PeerWork, PickRequest, Prompt};
use crate::ids::{ZoneId, stable_hash};
use std::time::{Duration, Instant};

/// Cost of another availability zone, in requests.
const OTHER_ZONE_REQUESTS: f64 = 0.25;
/// Cost of a failure rate of one at a plain endpoint, in requests.
const FAILURE_REQUESTS: f64 = 6.0;
/// Cost of a failure rate of one at an engine, in prompt tokens.
const FAILURE_TOKENS: f64 = 60_000.0;
/// Time after newer weights were named in which older ones cost nothing.
const NEW_WEIGHTS_GRACE: Duration = Duration::from_millis(1_300);
/// Cost of older weights after that, in prompt tokens.
const OLD_WEIGHTS_TOKENS: f64 = 8_000.0;
/// Time before the bound on old weights at which requests stop going to them: they may wait in an
/// engine's queue before they begin.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);
/// Time before that bound at which a request that has not begun is taken back.
const TAKE_BACK_BEFORE: Duration = Duration::from_millis(250);
/// Cost of a token that is fetched from a store in the zone, in tokens that are read.
const FETCH_COST: f64 = 0.25;
/// The same from a store in another availability zone.
const FAR_FETCH_COST: f64 = 0.5;
/// Cost of a token that is read though another engine has it, in tokens: the reading takes time
/// from all other requests, while a wait for that engine costs only this one.
const READ_AGAIN_COST: f64 = 2.5;
/// Cost of waiting for a running request to end, in prompt tokens.
const FULL_TOKENS: f64 = 15_000.0;
/// Reading that may wait at an engine; beyond it requests wait at the daemon, where the most
/// urgent goes first and any engine may take them.
const MAX_READING_AHEAD: Duration = Duration::from_millis(250);
/// Part of an engine's memory that is filled with running requests, in percent.
const MEMORY_PERCENT: u64 = 95;

/// Newest weight version of a model and when this daemon heard of it.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Version.
    pub version: u64,
    /// When it was heard of.
    pub since: Instant,
    /// Version that was the newest before, if it was replaced just now; none where newer weights
    /// may have been named long before this daemon heard of them.
    pub before: Option<u64>,
}

/// Work that a request brings to the endpoint that it is placed at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacedWork {
    /// Prompt tokens that the engine has to read or fetch, in tokens that are read.
    pub unread_tokens: u64,
    /// Tokens that the request holds in memory.
    pub memory_tokens: u64,
}

impl Wanted {
    /// When a request that was sent to an engine with a version must have begun there; none if
    /// the version is not older.
    pub fn begin_by(&self, version: u64, old_weights_for: Duration) -> Option<Instant> {
        let is_old = version < self.version;
        is_old.then(|| self.since + old_weights_for.saturating_sub(TAKE_BACK_BEFORE))
    }
}

/// How well an endpoint fits a request.
#[derive(Clone, Debug)]
pub struct Fit {
    /// Cost; the least is chosen.
    pub cost: f64,
    /// Weight version that the request must run on.
    pub version: Option<u64>,
    /// Work that it brings.
    pub work: PlacedWork,
    /// Whether the endpoint has room for it now.
    pub has_room: bool,
}

/// Fit of a plain service's endpoint: the fewest requests.
pub fn plain_fit(now: Instant, known: &KnownEndpoint, zone: &ZoneId, req: &PickRequest<'_>) -> Fit {
    let distance = if known.entry.zone == *zone { 0.0 } else { OTHER_ZONE_REQUESTS };
    let load = f64::from(known.work.requests) + known.others(now) + distance;
    let failures = known.health.failure_rate(now) * FAILURE_REQUESTS;
    let tie = stable_hash(&(known.name_hash ^ req.spread).to_le_bytes()) % 1_000;
    let slots = f64::from(known.entry.slots.max(1));
    Fit {
        cost: (load + failures + tie as f64 * 1e-5) / slots,
        version: None,
        work: PlacedWork::default(),
        has_room: true,
    }
}

/// What the daemons know beside an engine's own state.
#[derive(Clone, Copy, Debug)]
pub struct EngineSurroundings<'a> {
    /// Whether the last shared part of the prompt is likely in its memory.
    pub is_kept: bool,
    /// Whether that part is likely in the memory of any engine.
    pub is_kept_anywhere: bool,
    /// Newest weights of the model.
    pub wanted: Option<Wanted>,
    /// Requests of other daemons.
    pub peers: &'a PeerWork,
}

/// Fit of an engine: the least reading before the first token; none if its weights are too old.
///
/// Requests that share a part come together where it is likely kept, until the queue there costs
/// more than bringing the part elsewhere; the best engine is waited for when it has no room.
pub fn engine_fit(
    now: Instant,
    known: &KnownEndpoint,
    req: &PickRequest<'_>,
    prompt: &Prompt,
    around: EngineSurroundings<'_>,
) -> Option<Fit> {
    let version = known.entry.version_of(&prompt.model);
    let old_weights = old_weights_cost(now, version, around.wanted, req.old_weights_for)?;
    let shared = prompt.shared_part();
    let shared_tokens = shared.map_or(0, |part| part.tokens.min(prompt.tokens)) as f64;
    let bringing = match () {
        () if around.is_kept => 0.0,
        () if req.stored_in.contains(&known.entry.zone) => shared_tokens * FETCH_COST,
        () if !req.stored_in.is_empty() => shared_tokens * FAR_FETCH_COST,
        () if around.is_kept_anywhere => shared_tokens * READ_AGAIN_COST,
        () => shared_tokens,
    };
    let unread = prompt.tokens as f64 - shared_tokens + bringing.min(shared_tokens);
    let others = around.peers.at(now, &known.entry.id);
    let ahead = (known.work.unread_tokens + others.unread_tokens) as f64;
    let distance = shared.map_or(0.0, |part| distance(known.name_hash, &part.id));
    let work = PlacedWork { unread_tokens: unread as u64, memory_tokens: prompt.memory_tokens() };
    let requests = known.work.requests + others.requests;
    let memory = known.work.memory_tokens + others.memory_tokens + work.memory_tokens;
    let capacity = req.service.engine.as_ref();
    let fits_memory = capacity
        .is_none_or(|engine| memory <= engine.memory_tokens * MEMORY_PERCENT / 100)
        || requests == 0;
    let fits_slots = capacity.is_none_or(|engine| requests < engine.slots);
    let max_ahead = known.rate.tokens_per_ms() * MAX_READING_AHEAD.as_secs_f64() * 1e3;
    let fits_queue = ahead == 0.0 || ahead + unread <= max_ahead;
    let is_full = !fits_memory || !fits_slots;
    Some(Fit {
        cost: prompt.tokens as f64 - shared_tokens
            + bringing
            + ahead
            + if is_full { FULL_TOKENS } else { 0.0 }
            + old_weights
            + known.health.failure_rate(now) * FAILURE_TOKENS
            + distance * bringing,
        version,
        work,
        has_room: fits_memory && fits_slots && fits_queue,
    })
}

/// Cost of an engine's weights; none if they are too old.
fn old_weights_cost(
    now: Instant,
    version: Option<u64>,
    wanted: Option<Wanted>,
    old_weights_for: Duration,
) -> Option<f64> {
    let is_old = |wanted: &Wanted| version.is_some_and(|version| version < wanted.version);
    let Some(wanted) = wanted.filter(is_old) else { return Some(0.0) };
    let bound = wanted.since + old_weights_for.saturating_sub(OLD_WEIGHTS_MARGIN);
    match () {
        () if now >= bound => None,
        () if now < wanted.since + NEW_WEIGHTS_GRACE => Some(0.0),
        () => Some(OLD_WEIGHTS_TOKENS),
    }
}

/// Place of an endpoint in the order of a prompt part, from 0 to 1; all daemons agree on it.
fn distance(name_hash: u64, part: &str) -> f64 {
    let hash = stable_hash(&(name_hash ^ stable_hash(part.as_bytes())).to_le_bytes());
    hash as f64 / u64::MAX as f64
}

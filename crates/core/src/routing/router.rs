use super::{
    EndpointLoad, FetchEstimate, PrefixIndex, RouteChoice, RouteDecision, RouteRefusal,
    RouteRequest,
    candidate::{Candidate, merge, ring_key},
    endpoint_state::{Distance, EndpointState, Report},
    endpoint_table::EndpointTable,
    estimate::PromptSize,
    hash_ring::mix,
    reuse_estimator::{PREFERRED_RANKS, ReuseEstimator},
};
use crate::{
    ids::{PieceKey, VersionId, ZoneId},
    membership::View,
};
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// Random candidates in addition to those in the prompt's ring order.
const RANDOM_CANDIDATES: usize = 2;
/// Random candidates for a request without a prompt.
const RANDOM_CANDIDATES_WITHOUT_PROMPT: usize = 6;
/// Ring members examined to find the first usable ones.
const RING_LOOKUP_COUNT: usize = 8;
/// Penalty for serving a prompt on an endpoint other than the first in its ring order, in 1/1000
/// of the time to prepare the whole prompt.
///
/// For endpoints not known to hold the prompt, the penalty exceeds the time of computing it,
/// because a prompt that moves also takes up cache on another endpoint. With lower penalties,
/// prompts that move off a busy endpoint are recomputed elsewhere, which makes more endpoints busy,
/// until most prompts are recomputed.
const HOLDER_PENALTY_PERMILLE: u32 = 250;
const SECOND_RANK_PENALTY_PERMILLE: u32 = 4_000;
const THIRD_RANK_PENALTY_PERMILLE: u32 = 6_000;
const RANDOM_PENALTY_PERMILLE: u32 = 12_000;
/// Lower bound on the estimated share of an unseen prompt that is cached on its first endpoint.
const MIN_FIRST_RANK_REUSE_PERMILLE: u32 = 100;
/// Lower bound on the estimated share of a computed prompt that is still cached.
const MIN_HOLDER_REUSE_PERMILLE: u32 = 250;
/// Weight of an endpoint's utilisation in the cost of moving a prompt there, since the prefill
/// delays other requests.
const UTILISATION_WEIGHT: u32 = 2;
/// Where the cost of a fetch is not known, it is assumed to take 1/4 of the time to compute the same
/// tokens, after a fixed setup time.
const FETCH_DIVISOR: u32 = 4;
const FETCH_SETUP: Duration = Duration::from_millis(2);
/// Lower bound on the share of prompts that may use a cold endpoint, in 1/1000.
const MIN_COLD_SHARE_PERMILLE: u16 = 50;
const PERMILLE: u32 = 1_000;

/// Settings of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Maximum number of prompt roots whose holders are recorded.
    pub remembered_prompts: usize,
    /// Prefill time per prompt token, assumed until an endpoint reports it.
    pub prefill_per_token: Duration,
    /// Time added to the estimate of an endpoint in another zone of the region.
    pub other_zone_cost: Duration,
    /// Time added to the estimate of an endpoint in another region.
    pub other_region_cost: Duration,
    /// Time for which an endpoint is not chosen after it failed or was unreachable.
    pub avoid_after_failure: Duration,
    /// Time for which an endpoint is not chosen for a weight version that it lacked.
    pub avoid_not_loaded: Duration,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            remembered_prompts: 32_768,
            prefill_per_token: Duration::from_micros(100),
            other_zone_cost: Duration::from_millis(2),
            other_region_cost: Duration::from_millis(100),
            avoid_after_failure: Duration::from_secs(2),
            avoid_not_loaded: Duration::from_secs(1),
        }
    }
}

/// What a complete response showed about the cache of the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest<'a> {
    /// ID of the endpoint that served the request.
    pub endpoint: &'a str,
    /// Keys of the prompt's complete pieces, all of which the endpoint has now cached.
    pub pieces: &'a [PieceKey],
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens that were taken from the cache.
    pub reused_tokens: u32,
    /// Rank of the endpoint in the routing decision, from [`RouteChoice::rank`].
    pub rank: Option<u8>,
    /// Whether the endpoint was a known holder, from [`RouteChoice::was_holder`].
    pub was_holder: bool,
}

/// Chooses the endpoint for each request of one entry.
#[derive(Clone, Debug)]
pub struct Router {
    cfg: RouterConfig,
    zone: ZoneId,
    table: EndpointTable,
    prefix_index: PrefixIndex,
    reuse: ReuseEstimator,
    default_load: EndpointLoad,
}

/// Which cold endpoints may be used. Each variant is tried only if the one before leaves no
/// candidate.
#[derive(Clone, Copy, Debug)]
enum ColdUse {
    /// Those with credits left and a warmth above this threshold.
    ///
    /// The threshold, from 0 to 999, is a hash of the prompt. All entries therefore move a prompt
    /// back to a returning endpoint at the same warmth, and it is computed there only once.
    AboveWarmth(u16),
    /// Those with credits left.
    WithCredits,
    /// All. The request queues in the daemon, which enforces the concurrency limit.
    Any,
}

impl Router {
    /// Creates the router of an entry in `zone`; it has no endpoints until [`Self::set_view`].
    pub fn new(zone: ZoneId, cfg: RouterConfig) -> Self {
        let default_load = EndpointLoad {
            credits: 1,
            prefill_per_token: cfg.prefill_per_token,
            ..EndpointLoad::default()
        };
        Self {
            prefix_index: PrefixIndex::new(cfg.remembered_prompts),
            table: EndpointTable::default(),
            reuse: ReuseEstimator::new(),
            cfg,
            zone,
            default_load,
        }
    }

    /// Applies the current settings and the current set of leaving hosts.
    pub fn set_view(&mut self, view: &View) {
        self.table.set_view(&self.zone, view);
    }

    /// Stores a load report that reflects every request sent to the endpoint up to `as_of`.
    pub fn on_load(&mut self, endpoint: &str, load: EndpointLoad, as_of: Instant) {
        if let Some(report) = self.report_mut(endpoint) {
            report.on_load(load, as_of);
        }
    }

    /// Counts a request sent to an endpoint with `tokens` to prefill, until a report reflects it.
    pub fn on_sent(&mut self, now: Instant, endpoint: &str, tokens: u32) {
        if let Some(report) = self.report_mut(endpoint) {
            report.on_sent(now, tokens);
        }
    }

    /// Avoids an endpoint for a while after it failed or was unreachable.
    pub fn on_failed(&mut self, now: Instant, endpoint: &str) {
        let until = now + self.cfg.avoid_after_failure;
        if let Some(report) = self.report_mut(endpoint) {
            report.avoid(until);
        }
    }

    /// Avoids an endpoint for a while for requests that require a weight version it lacks.
    pub fn on_not_loaded(&mut self, now: Instant, endpoint: &str, version: VersionId) {
        let until = now + self.cfg.avoid_not_loaded;
        if let Some(report) = self.report_mut(endpoint) {
            report.on_not_loaded(version, until);
        }
    }

    /// Records a complete response: its endpoint now holds the prompt. Updates the reuse estimates.
    pub fn on_completed(&mut self, completed: CompletedRequest) {
        let (reused, tokens) = (completed.reused_tokens, completed.prompt_tokens);
        if let Some(rank) = completed.rank {
            self.reuse.observe_rank(rank, reused, tokens);
        }
        match (completed.was_holder, completed.rank) {
            (true, _) => self.reuse.observe_holder(reused, tokens),
            (false, None) => self.reuse.observe_unranked(reused, tokens),
            (false, Some(_)) => {}
        }
        let Some(slot) = self.table.slot(completed.endpoint) else { return };
        let report = self.table.state(slot).and_then(|state| state.report.as_ref());
        if let Some(boot) = report.map(|report| report.load().boot) {
            self.prefix_index.record(completed.pieces, slot, boot);
        }
    }

    /// Chooses the endpoint for a request. `rng` picks the random candidates and must be seeded by
    /// the caller.
    pub fn choose(
        &mut self,
        now: Instant,
        req: &RouteRequest,
        rng: &mut impl Rng,
    ) -> RouteDecision {
        let Some(model) = self.table.model(req.model) else {
            return RouteDecision::Refuse(RouteRefusal::NoEndpoint);
        };
        let key = req.pieces.first().map(ring_key);
        let order = key.map(|key| model.ring.order(key, RING_LOOKUP_COUNT)).unwrap_or_default();
        let holders = self.prefix_index.holders(req.pieces).map(Candidate::holder);
        let randoms =
            if order.is_empty() { RANDOM_CANDIDATES_WITHOUT_PROMPT } else { RANDOM_CANDIDATES };
        let randoms = (0..randoms).map(|_| Candidate::random(model, rng));
        let others: Vec<Candidate> = holders.chain(randoms).collect();
        let min_warmth = mix(key.unwrap_or_else(|| rng.random())) % u64::from(PERMILLE);
        let cold_uses =
            [ColdUse::AboveWarmth(min_warmth as u16), ColdUse::WithCredits, ColdUse::Any];
        let best = cold_uses
            .into_iter()
            .find_map(|cold_use| self.best(now, req, &order, &others, cold_use));
        match best {
            None => RouteDecision::Refuse(RouteRefusal::NoUsableEndpoint),
            Some(best) if best.estimate > req.time_left => {
                RouteDecision::Refuse(RouteRefusal::TooLate { estimate: best.estimate })
            }
            Some(best) => RouteDecision::Send(best),
        }
    }

    /// Heap memory used to record which endpoints hold which prompts, in bytes.
    pub fn prefix_index_bytes(&self) -> usize {
        self.prefix_index.heap_bytes()
    }

    /// The candidate with the lowest score among the first usable endpoints in the prompt's ring
    /// order and the usable ones of `others`.
    fn best(
        &self,
        now: Instant,
        req: &RouteRequest,
        order: &[u32],
        others: &[Candidate],
        cold_use: ColdUse,
    ) -> Option<RouteChoice> {
        let is_usable = |slot: u32| {
            let state = self.table.state(slot);
            state.is_some_and(|state| {
                self.is_open(now, req, state) && self.may_send(now, state, cold_use)
            })
        };
        let usable = order.iter().copied().filter(|slot| is_usable(*slot));
        let mut candidates: Vec<Candidate> = usable
            .zip(0..PREFERRED_RANKS as u8)
            .map(|(slot, rank)| Candidate::ranked(slot, rank))
            .collect();
        let others = others.iter().filter(|other| is_usable(other.slot));
        others.for_each(|other| merge(&mut candidates, *other));
        let has_known_holder = candidates.iter().any(|candidate| {
            let boot = self.table.state(candidate.slot).map(|state| self.load_of(state).boot);
            boot.is_some_and(|boot| candidate.holds_since(boot))
        });
        candidates
            .iter()
            .filter_map(|candidate| self.estimate(now, req, candidate, has_known_holder))
            .min_by_key(|(score, _)| *score)
            .map(|(_, choice)| choice)
    }

    /// Whether the endpoint is warm, or `cold_use` allows its use while it is cold.
    fn may_send(&self, now: Instant, state: &EndpointState, cold_use: ColdUse) -> bool {
        let load = self.load_of(state);
        if !load.is_cold() {
            return true;
        }
        let has_credits = state.report.as_ref().is_none_or(|report| report.credits_left(now) > 0);
        match cold_use {
            ColdUse::AboveWarmth(min_warmth) => {
                has_credits && min_warmth < load.warmth_permille.max(MIN_COLD_SHARE_PERMILLE)
            }
            ColdUse::WithCredits => has_credits,
            ColdUse::Any => true,
        }
    }

    fn is_open(&self, now: Instant, req: &RouteRequest, state: &EndpointState) -> bool {
        let is_open = |report: &Report| report.is_open(now, req.version);
        state.takes_work
            && !req.tried.contains(&state.id)
            && state.report.as_deref().is_none_or(is_open)
    }

    /// Returns the score of a candidate, lower being better, and the choice it would be.
    ///
    /// The score is the candidate's wait plus a penalty for moving the prompt there. The penalty
    /// makes all entries use the same endpoint for a prompt as long as its queue is short enough.
    fn estimate(
        &self,
        now: Instant,
        req: &RouteRequest,
        candidate: &Candidate,
        has_known_holder: bool,
    ) -> Option<(Duration, RouteChoice)> {
        let state = self.table.state(candidate.slot)?;
        let load = self.load_of(state);
        let size = PromptSize { tokens: req.prompt_tokens, piece_tokens: req.piece_tokens };
        let held = self.held_tokens(req, candidate, load);
        let fetch = req.fetch.or_else(|| self.expected_fetch(req, load));
        let (preparation_time, source) = size.preparation_time(held, load.prefill_per_token, fetch);
        let wait = state.report.as_ref().map_or(Duration::ZERO, |report| report.wait(now));
        let start = wait + self.distance_cost(state.distance);
        let (move_cost, _) = size.preparation_time(0, load.prefill_per_token, fetch);
        let utilisation_factor = PERMILLE + load.busy_permille() * UTILISATION_WEIGHT;
        let penalty = self.move_penalty(candidate, load, has_known_holder);
        let score = start + move_cost * penalty / PERMILLE * utilisation_factor / PERMILLE;
        let choice = RouteChoice {
            endpoint: state.id.clone(),
            estimate: start + preparation_time,
            source,
            rank: candidate.rank,
            was_holder: candidate.holds_since(load.boot),
            missing_tokens: req.prompt_tokens.saturating_sub(held),
        };
        Some((score, choice))
    }

    /// Penalty for moving the prompt to the candidate, in 1/1000 of the time to prepare the whole
    /// prompt, scaled by the share expected to be reused on a known holder, if there is one, or on
    /// the first endpoint in the ring order.
    fn move_penalty(
        &self,
        candidate: &Candidate,
        load: &EndpointLoad,
        has_known_holder: bool,
    ) -> u32 {
        let penalty = match candidate.rank {
            Some(0) => return 0,
            _ if candidate.holds_since(load.boot) => return HOLDER_PENALTY_PERMILLE,
            Some(1) => SECOND_RANK_PENALTY_PERMILLE,
            Some(_) => THIRD_RANK_PENALTY_PERMILLE,
            None => RANDOM_PENALTY_PERMILLE,
        };
        let share = if has_known_holder {
            self.reuse.at_holder(PERMILLE).max(MIN_HOLDER_REUSE_PERMILLE)
        } else {
            self.reuse.at_rank(0, PERMILLE).max(MIN_FIRST_RANK_REUSE_PERMILLE)
        };
        penalty * share / PERMILLE
    }

    fn held_tokens(&self, req: &RouteRequest, candidate: &Candidate, load: &EndpointLoad) -> u32 {
        let whole_tokens = req.pieces.len() as u32 * req.piece_tokens;
        let known = candidate.held.filter(|_| candidate.holds_since(load.boot));
        match (known, candidate.rank) {
            (Some((_, pieces)), _) => {
                self.reuse.at_holder((pieces * req.piece_tokens).min(whole_tokens))
            }
            (None, Some(rank)) => self.reuse.at_rank(rank, whole_tokens),
            (None, None) => 0,
        }
    }

    /// Estimate of a fetch where the caller gave none, from the reuse seen on unranked endpoints.
    fn expected_fetch(&self, req: &RouteRequest, load: &EndpointLoad) -> Option<FetchEstimate> {
        let pieces = self.reuse.unranked(req.pieces.len() as u32);
        let per_piece = load.prefill_per_token * req.piece_tokens / FETCH_DIVISOR;
        (pieces > 0).then_some(FetchEstimate { pieces, setup: FETCH_SETUP, per_piece })
    }

    fn distance_cost(&self, distance: Distance) -> Duration {
        match distance {
            Distance::SameZone => Duration::ZERO,
            Distance::SameRegion => self.cfg.other_zone_cost,
            Distance::OtherRegion => self.cfg.other_region_cost,
        }
    }

    fn load_of<'a>(&'a self, state: &'a EndpointState) -> &'a EndpointLoad {
        state.report.as_ref().map_or(&self.default_load, |report| report.load())
    }

    fn report_mut(&mut self, endpoint: &str) -> Option<&mut Report> {
        let slot = self.table.slot(endpoint)?;
        Some(self.table.state_mut(slot)?.report_mut(&self.default_load))
    }
}

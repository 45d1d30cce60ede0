use super::{
    EndpointLoad, RememberedPrompts, RouteChoice, RouteDecision, RouteRefusal, RouteRequest,
    endpoint_state::{Distance, EndpointState, Report},
    endpoint_table::{EndpointTable, ModelEndpoints},
    estimate::PromptSize,
    home_share::{HOME_RANKS, HomeShare},
};
use crate::{
    ids::{PieceKey, VersionId, ZoneId},
    membership::View,
};
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// Random candidates besides the prompt's own order.
const RANDOM_CANDIDATES: usize = 2;
/// Random candidates while none of the first ones may be used, and for requests without a prompt.
const WIDE_RANDOM_CANDIDATES: usize = 6;
/// Members of the prompt's order looked at while none of the first ones may be used.
const WIDE_RANKS: usize = 8;
/// Lowest share of choices in which a cold endpoint is looked at.
const MIN_COLD_SHARE_PERMILLE: u16 = 50;
const PERMILLE: u32 = 1_000;

/// Settings of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Prompt roots remembered.
    pub remembered_prompts: usize,
    /// Time to compute one prompt token where no report gave it.
    pub prefill_per_token: Duration,
    /// Added to the estimate of an endpoint in another zone of the region.
    pub other_zone_cost: Duration,
    /// Added to the estimate of an endpoint in another region.
    pub other_region_cost: Duration,
    /// Time for which an endpoint that could not be reached is not chosen.
    pub avoid_after_failure: Duration,
    /// Time for which an endpoint is not asked again for weights that it lacks.
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

/// What a whole answer showed of the cache on its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Answered<'a> {
    /// Endpoint that answered.
    pub endpoint: &'a str,
    /// Whole pieces of the prompt, which the endpoint holds now.
    pub pieces: &'a [PieceKey],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were reused.
    pub reused_tokens: u32,
    /// Rank of the endpoint when it was chosen.
    pub rank: Option<u8>,
}

/// Chooses endpoints for the requests of one entry.
#[derive(Clone, Debug)]
pub struct Router {
    cfg: RouterConfig,
    zone: ZoneId,
    table: EndpointTable,
    remembered: RememberedPrompts,
    home_share: HomeShare,
    unreported: EndpointLoad,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    slot: u32,
    rank: Option<u8>,
    /// Leading pieces that this entry knows the endpoint to hold, with the boot that held them.
    held: Option<(u32, u32)>,
}

impl Router {
    /// Creates the router of an entry in `zone`; it knows no endpoint before its first view.
    pub fn new(zone: ZoneId, cfg: RouterConfig) -> Self {
        let unreported = EndpointLoad {
            credits: 1,
            prefill_per_token: cfg.prefill_per_token,
            ..EndpointLoad::default()
        };
        Self {
            remembered: RememberedPrompts::new(cfg.remembered_prompts),
            table: EndpointTable::default(),
            home_share: HomeShare::new(),
            cfg,
            zone,
            unreported,
        }
    }

    /// Takes the settings and leaving hosts now in force.
    pub fn set_view(&mut self, view: &View) {
        self.table.set_view(&self.zone, view);
    }

    /// Takes a load report that reflects every request sent to the endpoint up to `as_of`.
    pub fn on_load(&mut self, endpoint: &str, load: EndpointLoad, as_of: Instant) {
        if let Some(report) = self.report_mut(endpoint) {
            report.on_load(load, as_of);
        }
    }

    /// Notes a request handed to an endpoint, until a report reflects it.
    pub fn on_sent(&mut self, now: Instant, endpoint: &str, tokens: u32) {
        if let Some(report) = self.report_mut(endpoint) {
            report.on_sent(now, tokens);
        }
    }

    /// Notes that an endpoint could not be reached or failed.
    pub fn on_failed(&mut self, now: Instant, endpoint: &str) {
        let until = now + self.cfg.avoid_after_failure;
        if let Some(report) = self.report_mut(endpoint) {
            report.avoid(until);
        }
    }

    /// Notes that an endpoint lacks a weight version.
    pub fn on_not_loaded(&mut self, now: Instant, endpoint: &str, version: VersionId) {
        let until = now + self.cfg.avoid_not_loaded;
        if let Some(report) = self.report_mut(endpoint) {
            report.on_not_loaded(version, until);
        }
    }

    /// Notes a whole answer: its endpoint holds the prompt now.
    pub fn on_answered(&mut self, answered: Answered) {
        if let Some(rank) = answered.rank {
            self.home_share.observe(rank, answered.reused_tokens, answered.prompt_tokens);
        }
        let Some(slot) = self.table.slot(answered.endpoint) else { return };
        let report = self.table.state(slot).and_then(|state| state.report.as_ref());
        if let Some(boot) = report.map(|report| report.load().boot) {
            self.remembered.record(answered.pieces, slot, boot);
        }
    }

    /// Chooses where a request goes. The generator must be seeded by the caller.
    pub fn choose(
        &mut self,
        now: Instant,
        req: &RouteRequest,
        rng: &mut impl Rng,
    ) -> RouteDecision {
        let Some(model) = self.table.model(req.model) else {
            return RouteDecision::Refuse(RouteRefusal::NoEndpoint);
        };
        let holders = self.remembered.holders(req.pieces);
        let holders = holders.map(|held| Candidate {
            slot: held.slot,
            rank: None,
            held: Some((held.boot, held.pieces)),
        });
        let mut candidates = ranked(model, req, HOME_RANKS);
        holders.for_each(|holder| merge(&mut candidates, holder));
        let randoms =
            if req.pieces.is_empty() { WIDE_RANDOM_CANDIDATES } else { RANDOM_CANDIDATES };
        draw(model, randoms, rng).for_each(|random| merge(&mut candidates, random));
        let best = self
            .best(now, req, &candidates, |cold| is_drawn(cold, rng))
            .or_else(|| self.best(now, req, &candidates, |_| true));
        let best = best.or_else(|| {
            let mut wide = ranked(model, req, WIDE_RANKS);
            draw(model, WIDE_RANDOM_CANDIDATES, rng).for_each(|random| merge(&mut wide, random));
            self.best(now, req, &wide, |_| true)
        });
        match best {
            None => RouteDecision::Refuse(RouteRefusal::Full),
            Some(best) if best.estimate > req.time_left => {
                RouteDecision::Refuse(RouteRefusal::TooLate { estimate: best.estimate })
            }
            Some(best) => RouteDecision::Send(best),
        }
    }

    /// Bytes held on the heap for remembered prompts.
    pub fn remembered_bytes(&self) -> usize {
        self.remembered.heap_bytes()
    }

    fn best(
        &self,
        now: Instant,
        req: &RouteRequest,
        candidates: &[Candidate],
        mut takes_cold: impl FnMut(&EndpointLoad) -> bool,
    ) -> Option<RouteChoice> {
        candidates
            .iter()
            .filter_map(|candidate| Some((candidate, self.table.state(candidate.slot)?)))
            .filter(|(_, state)| self.is_open(now, req, state))
            .filter(|(_, state)| {
                let load = self.load_of(state);
                !load.is_cold() || takes_cold(load)
            })
            .map(|(candidate, state)| self.estimate(now, req, candidate, state))
            .min_by_key(|choice| choice.estimate)
    }

    fn is_open(&self, now: Instant, req: &RouteRequest, state: &EndpointState) -> bool {
        let accepts = |report: &Report| report.accepts(now, req.version);
        state.takes_work
            && !req.tried.contains(&state.id)
            && state.report.as_deref().is_none_or(accepts)
    }

    fn estimate(
        &self,
        now: Instant,
        req: &RouteRequest,
        candidate: &Candidate,
        state: &EndpointState,
    ) -> RouteChoice {
        let load = self.load_of(state);
        let size = PromptSize { tokens: req.prompt_tokens, piece_tokens: req.piece_tokens };
        let held = self.held_tokens(req, candidate, load);
        let (preparation, source) = size.preparation(held, load.prefill_per_token, req.fetch);
        let wait = state.report.as_ref().map_or(Duration::ZERO, |report| report.wait(now));
        let estimate = wait + preparation + self.distance_cost(state.distance);
        RouteChoice { endpoint: state.id.clone(), estimate, source, rank: candidate.rank }
    }

    fn held_tokens(&self, req: &RouteRequest, candidate: &Candidate, load: &EndpointLoad) -> u32 {
        let whole_tokens = req.pieces.len() as u32 * req.piece_tokens;
        let known = candidate.held.filter(|(boot, _)| *boot == load.boot as u32);
        match (known, candidate.rank) {
            (Some((_, pieces)), _) => (pieces * req.piece_tokens).min(whole_tokens),
            (None, Some(rank)) => self.home_share.expected_tokens(rank, whole_tokens),
            (None, None) => 0,
        }
    }

    fn distance_cost(&self, distance: Distance) -> Duration {
        match distance {
            Distance::SameZone => Duration::ZERO,
            Distance::SameRegion => self.cfg.other_zone_cost,
            Distance::OtherRegion => self.cfg.other_region_cost,
        }
    }

    fn load_of<'a>(&'a self, state: &'a EndpointState) -> &'a EndpointLoad {
        state.report.as_ref().map_or(&self.unreported, |report| report.load())
    }

    fn report_mut(&mut self, endpoint: &str) -> Option<&mut Report> {
        let slot = self.table.slot(endpoint)?;
        Some(self.table.state_mut(slot)?.report_mut(&self.unreported))
    }
}

/// The prompt's own order of endpoints; empty for a request without a prompt.
fn ranked(model: &ModelEndpoints, req: &RouteRequest, count: usize) -> Vec<Candidate> {
    let key = req
        .pieces
        .first()
        .map(|root| root.0[..8].iter().fold(0, |sum: u64, byte| sum << 8 | u64::from(*byte)));
    key.map(|key| model.ring.order(key, count))
        .unwrap_or_default()
        .into_iter()
        .zip(0..)
        .map(|(slot, rank)| Candidate { slot, rank: Some(rank), held: None })
        .collect()
}

fn draw(
    model: &ModelEndpoints,
    count: usize,
    rng: &mut impl Rng,
) -> impl Iterator<Item = Candidate> {
    (0..count).map(|_| model.slots[rng.random_range(0..model.slots.len())]).map(|slot| Candidate {
        slot,
        rank: None,
        held: None,
    })
}

fn merge(candidates: &mut Vec<Candidate>, other: Candidate) {
    match candidates.iter_mut().find(|known| known.slot == other.slot) {
        Some(known) => known.held = known.held.or(other.held),
        None => candidates.push(other),
    }
}

/// Draws whether a cold endpoint is looked at, so that its share rises with its warmth.
fn is_drawn(load: &EndpointLoad, rng: &mut impl Rng) -> bool {
    let share = load.warmth_permille.max(MIN_COLD_SHARE_PERMILLE);
    rng.random_ratio(u32::from(share), PERMILLE)
}

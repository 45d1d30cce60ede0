/// Number of leading ranks in the ring order that have their own reuse estimate.
pub(super) const PREFERRED_RANKS: usize = 3;
/// A new observation has a weight of 1/16 in the moving averages.
const SMOOTHING_DIVISOR: u32 = 16;
/// Estimates by rank before the first observation, in 1/1000.
const INITIAL_PERMILLE: [u32; PREFERRED_RANKS] = [500, 200, 100];
const PERMILLE: u32 = 1_000;

/// Moving averages of the share of a prompt that endpoints reuse from their cache, in 1/1000.
///
/// All entries prefer the same endpoints for a prompt, so these have often cached a prompt that
/// this entry sees for the first time. Conversely, an endpoint known to have computed a prompt may
/// have evicted it since.
#[derive(Clone, Debug)]
pub(super) struct ReuseEstimator {
    by_rank: [u32; PREFERRED_RANKS],
    holders: u32,
    unranked: u32,
}

impl ReuseEstimator {
    pub fn new() -> Self {
        Self { by_rank: INITIAL_PERMILLE, holders: PERMILLE, unranked: 0 }
    }

    /// Of `tokens`, the number expected to be cached on the endpoint at a rank of the ring order.
    pub fn at_rank(&self, rank: u8, tokens: u32) -> u32 {
        share_of(tokens, self.by_rank.get(usize::from(rank)).copied().unwrap_or_default())
    }

    /// Of `tokens` that an endpoint is known to have computed, the number expected to be still
    /// cached.
    pub fn at_holder(&self, tokens: u32) -> u32 {
        share_of(tokens, self.holders)
    }

    /// Of `count`, the number expected to be reused on an endpoint that is neither ranked nor a
    /// known holder. Such an endpoint must have fetched them from a store.
    pub fn unranked(&self, count: u32) -> u32 {
        share_of(count, self.unranked)
    }

    pub fn observe_unranked(&mut self, reused_tokens: u32, tokens: u32) {
        update_average(&mut self.unranked, reused_tokens, tokens);
    }

    pub fn observe_rank(&mut self, rank: u8, reused_tokens: u32, tokens: u32) {
        if let Some(share) = self.by_rank.get_mut(usize::from(rank)) {
            update_average(share, reused_tokens, tokens);
        }
    }

    pub fn observe_holder(&mut self, reused_tokens: u32, tokens: u32) {
        update_average(&mut self.holders, reused_tokens, tokens);
    }
}

fn share_of(tokens: u32, permille: u32) -> u32 {
    (u64::from(tokens) * u64::from(permille) / u64::from(PERMILLE)) as u32
}

fn update_average(share: &mut u32, reused_tokens: u32, tokens: u32) {
    let reused = u64::from(reused_tokens.min(tokens)) * u64::from(PERMILLE);
    if let Some(sample) = reused.checked_div(u64::from(tokens)) {
        *share = (*share * (SMOOTHING_DIVISOR - 1) + sample as u32) / SMOOTHING_DIVISOR;
    }
}

/// Ranks of a prompt's order for which the reused share is learned.
pub(super) const HOME_RANKS: usize = 3;
/// Weight of a new observation, as a divisor.
const SMOOTHING: u32 = 16;
const INITIAL_PERMILLE: [u32; HOME_RANKS] = [500, 200, 100];

/// Expected reused share of a prompt that this entry does not remember, by rank in its order.
///
/// Other entries send the same prompt to the same first endpoints, so these often hold a prompt
/// that this entry sees for the first time. The share is learned from the answers.
#[derive(Clone, Debug)]
pub(super) struct HomeShare {
    permille: [u32; HOME_RANKS],
}

impl HomeShare {
    pub fn new() -> Self {
        Self { permille: INITIAL_PERMILLE }
    }

    pub fn expected_tokens(&self, rank: u8, tokens: u32) -> u32 {
        let permille = self.permille.get(usize::from(rank)).copied().unwrap_or_default();
        (u64::from(tokens) * u64::from(permille) / 1_000) as u32
    }

    pub fn observe(&mut self, rank: u8, reused_tokens: u32, tokens: u32) {
        let Some(permille) = self.permille.get_mut(usize::from(rank)).filter(|_| tokens > 0) else {
            return;
        };
        let seen = (u64::from(reused_tokens.min(tokens)) * 1_000 / u64::from(tokens)) as u32;
        *permille = (*permille * (SMOOTHING - 1) + seen) / SMOOTHING;
    }
}

use std::time::Duration;

/// What fetching a prompt's kept cache from a store would cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchEstimate {
    /// Leading pieces that the store holds.
    pub pieces: u32,
    /// Time until the first piece can flow, with the link's queue.
    pub setup: Duration,
    /// Transfer time of one piece at the link's current share.
    pub per_piece: Duration,
}

/// Where the cache that an endpoint lacks comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheSource {
    /// The endpoint computes what it lacks.
    Compute,
    /// Pieces up to this count are fetched from the store, the rest is computed.
    Fetch {
        /// Leading pieces to have after the fetch.
        pieces: u32,
    },
}

/// The part of a prompt that an endpoint may reuse.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptSize {
    pub tokens: u32,
    pub piece_tokens: u32,
}

impl PromptSize {
    /// Time to have the prompt computed on an endpoint that holds `held_tokens` of it.
    pub fn preparation(
        self,
        held_tokens: u32,
        per_token: Duration,
        fetch: Option<FetchEstimate>,
    ) -> (Duration, CacheSource) {
        let compute = per_token * self.tokens.saturating_sub(held_tokens);
        self.fetched(held_tokens, per_token, fetch)
            .filter(|(time, _)| *time < compute)
            .unwrap_or((compute, CacheSource::Compute))
    }

    fn fetched(
        self,
        held_tokens: u32,
        per_token: Duration,
        fetch: Option<FetchEstimate>,
    ) -> Option<(Duration, CacheSource)> {
        let fetch = fetch?;
        let held_pieces = held_tokens / self.piece_tokens.max(1);
        let moved = fetch.pieces.checked_sub(held_pieces).filter(|count| *count > 0)?;
        let covered = fetch.pieces.saturating_mul(self.piece_tokens).min(self.tokens);
        let transfer = fetch.setup + fetch.per_piece * moved;
        let time = transfer + per_token * (self.tokens - covered);
        Some((time, CacheSource::Fetch { pieces: fetch.pieces }))
    }
}

use std::time::Duration;

/// Cost of fetching a prompt's cache from a cache store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchEstimate {
    /// Leading pieces that the store holds.
    pub pieces: u32,
    /// Time until the transfer begins, including the queue for the link.
    pub setup: Duration,
    /// Transfer time per piece at the bandwidth now available.
    pub per_piece: Duration,
}

/// How an endpoint obtains the part of a prompt's cache that it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheSource {
    /// The endpoint computes it.
    Compute,
    /// Leading pieces are fetched from the store and the rest is computed.
    Fetch {
        /// Leading pieces that are present after the fetch, with those that already were.
        pieces: u32,
    },
}

/// Size of a prompt and of its cache pieces, in tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptSize {
    pub tokens: u32,
    pub piece_tokens: u32,
}

impl PromptSize {
    /// Time to prepare the prompt on an endpoint that has cached `held_tokens` of it, and whether a
    /// fetch is part of it. A fetch is used only where it is faster than computing.
    pub fn preparation_time(
        self,
        held_tokens: u32,
        per_token: Duration,
        fetch: Option<FetchEstimate>,
    ) -> (Duration, CacheSource) {
        let compute = per_token * self.tokens.saturating_sub(held_tokens);
        self.fetch_time(held_tokens, per_token, fetch)
            .filter(|(time, _)| *time < compute)
            .unwrap_or((compute, CacheSource::Compute))
    }

    fn fetch_time(
        self,
        held_tokens: u32,
        per_token: Duration,
        fetch: Option<FetchEstimate>,
    ) -> Option<(Duration, CacheSource)> {
        let fetch = fetch?;
        let held_pieces = held_tokens / self.piece_tokens.max(1);
        let fetched_pieces = fetch.pieces.checked_sub(held_pieces).filter(|count| *count > 0)?;
        let present_tokens = fetch.pieces.saturating_mul(self.piece_tokens).min(self.tokens);
        let transfer = fetch.setup + fetch.per_piece * fetched_pieces;
        let time = transfer + per_token * (self.tokens - present_tokens);
        Some((time, CacheSource::Fetch { pieces: fetch.pieces }))
    }
}

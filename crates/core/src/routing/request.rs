use super::{CacheSource, FetchEstimate};
use crate::ids::{EndpointId, PieceKey};
use std::time::Duration;
use thiserror::Error;

/// Properties of a request that routing depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteRequest<'a> {
    /// Name of the model or of another service.
    pub model: &'a str,
    /// Weight version that the request requires, if any.
    pub version: Option<&'a str>,
    /// Keys of the prompt's complete pieces in order; empty for a service that is not a model.
    pub pieces: &'a [PieceKey],
    /// Tokens per piece.
    pub piece_tokens: u32,
    /// Length of the prompt in tokens, including an incomplete last piece.
    pub prompt_tokens: u32,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Cost of fetching stored cache for the prompt; `None` if it is unknown or there is none.
    pub fetch: Option<FetchEstimate>,
    /// Endpoints used by earlier attempts, which are not chosen again.
    pub tried: &'a [EndpointId],
}

/// Result of routing a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send the request to the chosen endpoint.
    Send(RouteChoice),
    /// Send the request to no endpoint; it has not run.
    Refuse(RouteRefusal),
}

/// The chosen endpoint and what is expected of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// ID of the endpoint to send to.
    pub endpoint: EndpointId,
    /// Estimated time to first token.
    pub estimate: Duration,
    /// How the endpoint should obtain the missing cache.
    pub source: CacheSource,
    /// Position in the prompt's ring order; `None` for other candidates.
    pub rank: Option<u8>,
    /// Whether the endpoint is known to have computed leading pieces of the prompt in this boot.
    pub was_holder: bool,
    /// Prompt tokens that the endpoint's cache is expected to lack.
    pub missing_tokens: u32,
}

/// Why a request was not sent to any endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteRefusal {
    /// No endpoint of the model accepts requests.
    #[error("no endpoint of the model accepts requests")]
    NoEndpoint,
    /// No candidate is usable: each was tried before, is avoided after a failure, lacks the weight
    /// version or is draining.
    #[error("no candidate endpoint is usable now")]
    NoUsableEndpoint,
    /// The estimated time to first token of the best candidate is longer than the time left.
    #[error("first token expected in {estimate:?}, after the request's deadline")]
    TooLate {
        /// Estimated time to first token of the best candidate.
        estimate: Duration,
    },
}

use super::{CacheSource, FetchEstimate};
use crate::ids::{EndpointId, PieceKey};
use std::time::Duration;
use thiserror::Error;

/// What the router needs to know of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteRequest<'a> {
    /// Model or plain service.
    pub model: &'a str,
    /// Weight version, if the request needs one.
    pub version: Option<&'a str>,
    /// Keys of the prompt's whole pieces, first to last; empty for a plain service.
    pub pieces: &'a [PieceKey],
    /// Tokens in one piece.
    pub piece_tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Time left until the answer is of no use.
    pub time_left: Duration,
    /// What a fetch of kept cache would cost, if any is kept.
    pub fetch: Option<FetchEstimate>,
    /// Endpoints that an earlier attempt tried.
    pub tried: &'a [EndpointId],
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send it to an endpoint.
    Send(RouteChoice),
    /// Send it nowhere: it has not run.
    Refuse(RouteRefusal),
}

/// The chosen endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// Endpoint to send to.
    pub endpoint: EndpointId,
    /// Estimated time to first token.
    pub estimate: Duration,
    /// Where the missing cache should come from.
    pub source: CacheSource,
    /// Position in the prompt's order of endpoints; none for a random candidate.
    pub rank: Option<u8>,
    /// Whether the endpoint is known to hold leading pieces of the prompt.
    pub was_holder: bool,
    /// Tokens that the endpoint is expected to lack.
    pub missing_tokens: u32,
}

/// Why a request was sent nowhere.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteRefusal {
    /// No endpoint of the model takes work.
    #[error("no endpoint of the model takes work")]
    NoEndpoint,
    /// Every candidate is at its limit or was tried.
    #[error("every candidate endpoint is at its limit")]
    Full,
    /// The best estimate is longer than the time left.
    #[error("the first token is expected in {estimate:?}, later than the time left")]
    TooLate {
        /// Best estimate of the time to first token.
        estimate: Duration,
    },
}

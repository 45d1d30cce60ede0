//! Choice of the endpoint for a request, by estimated queueing and prefill time over a few
//! candidates: the first endpoints in the prompt's hash ring order, known cache holders and random
//! endpoints.

mod candidate;
mod endpoint_load;
mod endpoint_state;
mod endpoint_table;
mod estimate;
mod hash_ring;
mod prefix_index;
mod request;
mod reuse_estimator;
mod router;

pub use self::{
    endpoint_load::EndpointLoad,
    estimate::{CacheSource, FetchEstimate},
    hash_ring::HashRing,
    prefix_index::PrefixIndex,
    request::{RouteChoice, RouteDecision, RouteRefusal, RouteRequest},
    router::{CompletedRequest, Router, RouterConfig},
};

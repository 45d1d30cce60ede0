//! Which endpoint a request goes to: the least estimated time to first token of a few candidates.

mod candidate;
mod endpoint_load;
mod endpoint_state;
mod endpoint_table;
mod estimate;
mod hash_ring;
mod remembered_prompts;
mod request;
mod reuse_share;
mod router;

pub use self::{
    endpoint_load::EndpointLoad,
    estimate::{CacheSource, FetchEstimate},
    hash_ring::HashRing,
    remembered_prompts::RememberedPrompts,
    request::{RouteChoice, RouteDecision, RouteRefusal, RouteRequest},
    router::{Answered, Router, RouterConfig},
};

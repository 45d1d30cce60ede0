//! Attempts on endpoints: connections, the choice of an endpoint and reading its stream.

mod attempt;
mod endpoint_pool;
mod pick;

pub use self::{
    attempt::{Attempt, OpenError, PullError},
    endpoint_pool::EndpointPool,
    pick::pick_endpoint,
};

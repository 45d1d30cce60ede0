//! Attempts at endpoints: connections, endpoint selection and reading of streams.

mod attempt;
mod endpoint_pool;
mod pick;

pub use self::{
    attempt::{Attempt, OpenError, PullError},
    endpoint_pool::EndpointPool,
    pick::pick_endpoint,
};

//! Endpoint role: the only way to one engine or plain service.

pub mod attempts;
pub mod cache_moves;
pub mod streams;

mod admission;
mod run_call;
mod run_completion;
mod run_prompt;
mod server;

pub use self::{
    admission::{Admission, Permit},
    server::EndpointServer,
};

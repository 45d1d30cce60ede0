//! Endpoint role: all requests to one engine or plain service pass through its daemon.

pub mod admission;
pub mod attempts;
pub mod cache_moves;
pub mod orders;
pub mod streams;

mod run_call;
mod run_completion;
mod run_prompt;
mod server;

pub use self::server::EndpointServer;

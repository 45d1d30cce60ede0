//! Stand-in for a model engine: continuous batching, prefix cache, resumable streams, cache events
//! and orders.
//!
//! A cache piece stands for the KV cache entries of a fixed number of prompt tokens
//! ([`Config::piece_tokens`]) and is cached, exported and imported as one unit.

mod block;
mod cache;
mod completions;
mod config;
mod core;
mod events;
mod hash_chain;
mod load;
mod orders;
mod records;
mod run;
mod scheduler;
mod server;

pub use self::{
    block::{Block, BlockError, BlockHeader},
    config::{Config, Faults},
    hash_chain::expected_completion,
    orders::Order,
    records::{OrderRecord, Records, RunOutcome, RunRecord},
    server::Engine,
};

/// Handle of a running engine.
pub type Handle = crate::server::Handle<Engine>;

/// Starts an engine on a free loopback port.
pub async fn spawn(cfg: Config) -> Handle {
    crate::server::spawn(cfg).await
}

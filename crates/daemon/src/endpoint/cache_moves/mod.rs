//! Transfers between an engine's prefix cache and the stores: blocks are fetched before a run and
//! new ones exported after it.
//!
//! A store failure neither blocks nor fails a request: every operation has a timeout, and whatever
//! cannot be fetched and verified is computed again.

mod cache_config;
mod counters;
mod eviction;
mod export;
mod fetch;
mod follow_events;
mod lookup;
mod moves;
mod prefill_gate;
mod prepare;
mod prompt_run;
mod shared_fetch;
mod store_lane;

pub use self::{
    cache_config::CacheConfig,
    counters::{CacheCounts, LinkDump},
    moves::{CacheDump, CacheMoves},
    prefill_gate::PrefillPermit,
    prompt_run::{Prepared, PromptRun, RunUsage},
};

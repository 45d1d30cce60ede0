//! Transfers between an engine's prefix cache and the stores: blocks are fetched before a run and
//! new ones exported after it.
//!
//! A store failure neither blocks nor fails a request: every operation has a timeout, and whatever
//! cannot be fetched and verified is computed again.

mod cache_config;
mod counters;
mod export;
mod fetch;
mod flights;
mod follow_events;
mod lookup;
mod make_room;
mod moves;
mod prefill_gate;
mod prepare;
mod prompt_run;
mod store_lane;

pub use self::{
    cache_config::CacheConfig,
    counters::{CacheCounts, LinkDump},
    moves::{CacheDump, CacheMoves},
    prefill_gate::PrefillTurn,
    prompt_run::{Prepared, PromptRun, RunUsage},
};

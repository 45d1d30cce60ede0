//! Cache moves of one engine: fetch before a run what stores keep, export after it what is new.
//!
//! No failure of a store blocks or fails a request: everything is bounded in time, and whatever
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

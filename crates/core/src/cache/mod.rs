//! Kept cache of prompts: its keys, its form in the stores, and what to fetch, keep and drop.

mod block;
mod engine_picture;
mod eviction;
mod fetch_plan;
mod manifest;
mod object_name;
mod piece_keys;
mod prefill_rate;
mod return_times;
mod scope;
mod store_order;

pub use self::{
    block::{BLOCK_HEADER_BYTES, BlockFault, decode_header, encode_block, verify_block},
    engine_picture::{CacheEvent, CacheEventKind, EnginePicture},
    eviction::{Eviction, Room, SampledBlock, StoreTier, keep_value, plan_eviction},
    fetch_plan::{PieceState, plan_fetch},
    manifest::{MAX_MANIFEST_BYTES, Manifest, ManifestFault},
    object_name::{BLOCK_PREFIX, MANIFEST_PREFIX, block_name, manifest_name, parse_block_name},
    piece_keys::{next_word, piece_keys, piece_keys_with, prompt_root},
    prefill_rate::PrefillRate,
    return_times::ReturnTimes,
    scope::{CacheScope, ChainKey},
    store_order::{LOOKUP_STORES, store_order},
};

/// Random name of one written block; it is never used again once the block is deleted.
pub type BlockId = u128;

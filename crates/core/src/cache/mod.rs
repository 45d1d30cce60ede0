//! Prefix KV cache in external stores: piece keys, object formats, and fetch and eviction policy.
//!
//! A prompt is split into pieces of a fixed number of tokens. The KV data of a piece is stored as a
//! block object, which a manifest object with the piece key in its name refers to.

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

/// Random ID of one written block; never reused, also not after the block is deleted.
pub type BlockId = u128;

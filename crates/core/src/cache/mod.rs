//! Prefix KV cache in external stores: piece keys, object formats, and fetch and eviction policy.
//!
//! A prompt is split into pieces of a fixed number of tokens. The KV data of a piece is stored as a
//! block object, which a manifest object with the piece key in its name refers to.

mod block;
mod engine_cache_index;
mod eviction;
mod fetch_plan;
mod manifest;
mod object_name;
mod piece_keys;
mod prefill_rate;
mod reuse_predictor;
mod scope;
mod store_order;

pub use self::{
    block::{BLOCK_HEADER_BYTES, BlockVerifyError, decode_header, encode_block, verify_block},
    engine_cache_index::{CacheEvent, CacheEventKind, EngineCacheIndex},
    eviction::{Eviction, EvictionTarget, SampledBlock, StoreTier, plan_eviction, retention_value},
    fetch_plan::{PieceState, plan_fetch},
    manifest::{MAX_MANIFEST_BYTES, Manifest, ManifestError},
    object_name::{BLOCK_PREFIX, MANIFEST_PREFIX, block_name, manifest_name, parse_block_name},
    piece_keys::{next_word, piece_keys, piece_keys_with, prompt_root},
    prefill_rate::PrefillRate,
    reuse_predictor::ReusePredictor,
    scope::{CacheScope, ChainKey},
    store_order::{LOOKUP_STORES, store_order},
};

/// Random ID of one written block; never reused, also not after the block is deleted.
pub type BlockId = u128;

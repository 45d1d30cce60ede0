//! Kept cache of prompts: its keys, its form in the stores, and what to fetch, keep and drop.

mod piece_keys;
mod scope;

pub use self::{
    piece_keys::{next_word, piece_keys, piece_keys_with, prompt_root},
    scope::{CacheScope, ChainKey},
};

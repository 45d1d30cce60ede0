//! Client of the hosts of the cache store, which keep named objects in a memory and a disk tier.

mod client;
mod error;
mod wire;

pub use self::{
    client::StoreClient,
    error::StoreError,
    wire::{ObjectInfo, StoreUsage, TierUsage},
};

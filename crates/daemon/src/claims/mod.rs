//! Claims on idempotency keys, which make requests run at most once.
//!
//! The claims are stored in the key-value service, in one ledger per shard.

mod claims_handle;
mod message;
mod owner;
mod peer_pool;
mod shard_task;
mod shard_view;

pub use self::{
    claims_handle::{Claims, ClaimsConfig},
    message::ClaimCall,
    shard_view::ShardStatus,
};

//! Claims of requests that may run at most once, kept in the key-value service by shard.

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

//! Stand-in for a store host: named objects in a memory and a disk tier behind a bandwidth-limited
//! link.

mod config;
mod damage;
mod objects;
mod server;

pub use self::{
    config::{Config, Faults},
    objects::Tier,
    server::{Records, Store},
};

/// Handle of a running store host.
pub type Handle = crate::server::Handle<Store>;

/// Starts a store host on a free loopback port.
pub async fn spawn(cfg: Config) -> Handle {
    crate::server::spawn(cfg).await
}

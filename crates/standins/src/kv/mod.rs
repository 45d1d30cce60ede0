//! Key-value service with the API of the etcd v3 JSON gateway.

mod api;
mod config;
mod error;
mod key_range;
mod key_space;
mod leases;
mod ops;
mod rates;
mod server;
mod watch;

pub use self::{
    config::{Config, Faults},
    rates::Records,
    server::Kv,
};

/// A running key-value service.
pub type Handle = crate::server::Handle<Kv>;

/// Starts a key-value service on a free loopback port.
pub async fn spawn(cfg: Config) -> Handle {
    crate::server::spawn(cfg).await
}

//! Plain HTTP service that echoes request bodies and records every execution.

mod config;
mod records;
mod server;

pub use self::{
    config::{Config, Faults},
    records::{Execution, Records},
    server::Service,
};

/// A running plain service.
pub type Handle = crate::server::Handle<Service>;

/// Starts a plain service on a free loopback port.
pub async fn spawn(cfg: Config) -> Handle {
    crate::server::spawn(cfg).await
}

//! The platform's list of live and leaving hosts, with a configurable lag.

mod config;
mod server;

pub use self::{
    config::{Config, Faults},
    server::{Host, HostState, Hosts, Records},
};

/// A running host list.
pub type Handle = crate::server::Handle<Hosts>;

/// Starts a host list on a free loopback port.
pub async fn spawn(cfg: Config) -> Handle {
    crate::server::spawn(cfg).await
}

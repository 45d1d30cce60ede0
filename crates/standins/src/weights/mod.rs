//! Stand-in for a weight store: serves weight versions at a rate limited per reader and in total.

mod config;
mod reader;
mod server;

pub use self::{
    config::{Config, Faults},
    reader::read_weights,
    server::{ReadRecord, Records, Weights},
};

/// Handle of a running weight store.
pub type Handle = crate::server::Handle<Weights>;

/// Starts a weight store on a free loopback port.
pub async fn spawn(cfg: Config) -> Handle {
    crate::server::spawn(cfg).await
}

//! What every part of a daemon shares.

mod daemon_context;
mod metrics;

pub use self::{daemon_context::Context, metrics::Metrics};

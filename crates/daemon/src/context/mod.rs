//! What every part of a daemon shares.

mod daemon_context;
mod meter_registry;
mod metrics;

pub use self::{daemon_context::Context, meter_registry::MeterRegistry, metrics::Metrics};

//! State shared by all components of a daemon.

mod daemon_context;
mod meter_registry;
mod metrics;

pub use self::{daemon_context::Context, meter_registry::MeterRegistry, metrics::Metrics};

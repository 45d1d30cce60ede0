//! Reconciliation of an engine's loaded versions and adapters with the settings.
//!
//! A single writer per engine, elected by a lease, sends load and unload orders until the engine's
//! state matches the desired one.

mod config;
mod desired;
mod engine_order;
mod order_policy;
mod step;
mod surplus;

pub use self::{
    config::OrderConfig,
    desired::Desired,
    engine_order::{EngineOrder, EngineState, OrderAction},
    order_policy::OrderPolicy,
    step::{OrderOutcome, PreviousWriter, Step},
};

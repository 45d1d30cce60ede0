//! Orders to an engine: one writer, what should be loaded, and what to do next about it.

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
    step::{OrderOutcome, Predecessor, Step},
};

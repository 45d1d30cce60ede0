//! Orders to the engine: executes the decisions of the order policy.

mod held_key;
mod load_slots;
mod order_dump;
mod order_task;
mod writer;
mod writer_lease;

pub use self::{order_dump::OrderDump, order_task::OrderTask};

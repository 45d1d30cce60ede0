//! Orders to the engine: carries out what the order policy decides.

mod held_key;
mod load_slots;
mod order_task;
mod writer_lease;

pub use self::order_task::OrderTask;

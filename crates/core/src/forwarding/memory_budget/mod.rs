//! Memory that a daemon holds for its callers: bodies of requests, and complete answers until their
//! callers have read them.

mod body_progress;
mod byte_shares;
mod held_answers;
mod memory_budget;
mod pressure_log;

pub use self::{
    body_progress::BodyProgress,
    held_answers::AnswerId,
    memory_budget::{MemoryBudget, MemoryUser, Shortage},
    pressure_log::{PressureCounts, PressureEvent, PressureLog},
};

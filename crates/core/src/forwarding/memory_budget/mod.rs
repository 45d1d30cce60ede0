//! Memory that a daemon holds for its callers: bodies of requests, and complete answers until their
//! callers have read them.

mod body_progress;
mod budget;
mod byte_shares;
mod held_answers;
mod pressure_log;

pub use self::{
    body_progress::BodyProgress,
    budget::{MemoryBudget, MemoryUser, Shortage},
    held_answers::AnswerId,
    pressure_log::{PressureCounts, PressureEvent, PressureLog},
};

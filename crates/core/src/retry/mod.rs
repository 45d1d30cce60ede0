//! What is tried again, where, and for how long.

mod attempts;
mod budget;
mod hedge;

pub use self::{
    attempts::{AttemptEnd, Attempts, NextStep, RetryConfig},
    budget::{RetryBudget, RetryBudgetConfig},
    hedge::HedgeDelay,
};

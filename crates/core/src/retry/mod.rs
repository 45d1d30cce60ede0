//! Retries and hedged requests: when, where and within which budget.

mod attempts;
mod budget;
mod hedge;

pub use self::{
    attempts::{AttemptOutcome, Attempts, NextStep, RetryConfig},
    budget::{RetryBudget, RetryBudgetConfig},
    hedge::HedgeDelay,
};

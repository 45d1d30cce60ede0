//! Callers: one request to an entry and what came back.

mod caller;
mod completion_result;
mod order_result;

pub use self::{
    caller::{Caller, CompletionCall, OrderCall},
    completion_result::CompletionResult,
    order_result::OrderResult,
};

//! Client of the load tool: sends single requests and records their results.

mod caller;
mod completion_result;
mod order_result;

pub use self::{
    caller::{Caller, CompletionCall, OrderCall},
    completion_result::CompletionResult,
    order_result::OrderResult,
};

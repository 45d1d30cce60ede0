//! Calls to plain services: a call with an idempotency key runs at most once.

mod answer;
mod call_request;
mod call_runner;
mod handle;
mod target;

pub use self::{call_request::CallRequest, handle::handle};

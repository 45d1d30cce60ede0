//! Calls to plain services. A call runs at most once, together with its repetitions if it has an
//! idempotency key.

mod answer;
mod call_request;
mod call_runner;
mod handle;
mod target;

pub use self::{
    call_request::CallRequest,
    handle::{check_access, handle},
};

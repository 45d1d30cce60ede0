//! Completions of models: parsed, dispatched with retries, streamed back whole.

mod answer;
mod completion_request;
mod handle;
mod run;

pub use self::{completion_request::CompletionRequest, handle::handle};

//! Model completions: parsing, dispatch with retries and responses without gaps or repeated tokens.

mod answer;
mod completion_request;
mod handle;
mod run;

pub use self::{completion_request::CompletionRequest, handle::handle};

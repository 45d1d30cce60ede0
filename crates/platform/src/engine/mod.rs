//! Client of model engines: OpenAI-style completions with server-sent events.

mod client;
mod completion;
mod error;
mod sse;

pub use self::{
    client::EngineClient,
    completion::{CompletionSpec, CompletionStream, EngineEvent, Usage},
    error::EngineError,
    sse::SseDecoder,
};

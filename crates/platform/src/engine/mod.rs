//! Client of model engines: OpenAI-style completions with server-sent events.

mod cache;
mod client;
mod completion;
mod error;
mod sse;

pub use self::{
    cache::CacheEvents,
    client::EngineClient,
    completion::{CompletionSpec, CompletionStream, EngineEvent, Usage},
    error::EngineError,
    sse::SseDecoder,
};

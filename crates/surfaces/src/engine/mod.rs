//! Client of model engines: completions streamed as server-sent events, cache transfer, load and
//! orders.

mod cache;
mod client;
mod completion;
mod control;
mod error;
mod sse;

pub use self::{
    cache::CacheEvents,
    client::EngineClient,
    completion::{CompletionSpec, CompletionStream, EngineEvent, Usage},
    control::EngineLoad,
    error::EngineError,
    sse::SseDecoder,
};

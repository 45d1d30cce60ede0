//! Client of model engines: completions with server-sent events, cache, load and orders.

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

//! Client of model engines: completions with server-sent events, cache, load and orders.

mod client;
mod completion;
mod control;
mod error;
mod sse;

pub use self::{
    client::EngineClient,
    completion::{CompletionSpec, CompletionStream, EngineEvent, Usage},
    control::{
        CacheEvent, CacheEventKind, CacheEventPage, EngineLoad, EngineOrder, OrderAction,
        OrderState,
    },
    error::EngineError,
    sse::SseDecoder,
};

//! Entry role: serves requests of callers and operators over HTTP.
//!
//! Stages of a request: accept, classify, authenticate, read the body, route, dispatch, stream and,
//! for calls to plain services, settle.

pub mod calls;
pub mod completions;
pub mod dispatch;
pub mod http;
pub mod routing;

mod entry_context;
mod serve;

pub use self::{entry_context::EntryContext, serve::serve};

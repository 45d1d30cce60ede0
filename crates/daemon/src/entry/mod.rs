//! Entry role: the path of a request as filters.
//!
//! accept, authenticate, classify, read the body, route, dispatch, stream, settle.

pub mod calls;
pub mod completions;
pub mod dispatch;
pub mod http;
pub mod routing;

mod entry_context;
mod serve;

pub use self::{entry_context::EntryContext, serve::serve};

//! Calls of plain services, which run at most once.

mod handle;

pub use self::handle::{CallRequest, handle};

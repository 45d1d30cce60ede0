//! Admin HTTP server of a daemon: health, readiness, metrics and the state dump.

mod dump;
mod serve;

pub use self::{dump::Dump, serve::serve};

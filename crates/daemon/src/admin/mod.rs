//! Health, metrics and the state dump of a daemon.

mod dump;
mod serve;

pub use self::{dump::Dump, serve::serve};

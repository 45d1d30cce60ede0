//! Start, run and graceful shutdown of a daemon.

mod daemon;
mod run_error;

pub use self::{daemon::Daemon, run_error::RunError};

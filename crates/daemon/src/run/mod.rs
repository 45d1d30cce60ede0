//! Startup, main loop and graceful shutdown of a daemon.

mod addresses;
mod daemon;
mod run_error;

pub use self::{
    addresses::Addresses,
    daemon::{Daemon, bind},
    run_error::RunError,
};

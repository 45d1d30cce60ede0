//! The cassiagw daemon, with its entry and endpoint roles and its forward mode.

pub mod admin;
mod caller_memory;
pub mod claims;
pub mod config;
pub mod context;
pub mod control;
pub mod endpoint;
pub mod entry;
pub mod forward;
mod http_server;
pub mod operators;
pub mod peer;
pub mod supervise;

mod run;

pub use self::run::{Addresses, Daemon, RunError};

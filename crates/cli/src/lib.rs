//! Operator command line of cassiagw.

pub mod client;
pub mod commands;
pub mod flags;
pub mod output;

mod exit;

pub use self::exit::{CliError, ExitStatus};

//! Settings in force and membership of one daemon, kept up to date in the background.

mod config;
mod handle;
mod spawn;

pub use self::{config::ControlConfig, handle::ControlHandle, spawn::spawn};

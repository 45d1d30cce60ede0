//! Settings in force and membership of one daemon, kept up to date in the background.

mod config;
mod edit;
mod handle;
mod spawn;

pub use self::{
    config::ControlConfig,
    edit::{EditOutcome, EditRequest},
    handle::ControlHandle,
    spawn::spawn,
};

//! Replication of settings and membership to one daemon, run as an actor in the background.

mod actor;
mod config;
mod edit;
mod handle;
mod message;
mod peer_links;
mod publisher;
mod service;
mod shell;
mod spawn;

pub use self::{
    config::ControlConfig,
    edit::{EditOutcome, EditRequest},
    handle::ControlHandle,
    message::Message,
    spawn::spawn,
};

//! Configuration file of a daemon process: addresses, availability zone, role and limits.

mod config_error;
mod daemon_config;
mod limits;
mod load;
mod section;

pub use self::{
    config_error::{ConfigError, Fault},
    daemon_config::{Config, EndpointConfig, Listen, Platform, Role},
    limits::Limits,
    load::{load, parse},
    section::Section,
};

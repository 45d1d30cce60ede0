//! Test deployment on loopback: stand-ins for the platform, entries and endpoint daemons.
#![allow(dead_code, unused_imports)]

mod client;
mod process;
mod process_system;
mod running_daemon;
mod system;

pub use self::{
    client::{Answer, Client},
    process::Process,
    process_system::ProcessSystem,
    running_daemon::RunningDaemon,
    system::{
        EndpointPart, EntryPart, MODEL, OPERATOR_TOKEN, SERVICE, System, SystemSpec, caller_token,
        deployment_of, poll,
    },
};

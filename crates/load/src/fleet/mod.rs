//! A deployment of real processes on loopback: stand-ins, endpoint daemons and entries.

mod admin;
mod baseline_fleet;
mod child_process;
mod fleet_error;
mod fleet_spec;
mod programs;
mod running_fleet;
mod settings_document;

pub use self::{
    admin::{read_json, set_faults},
    baseline_fleet::BaselineFleet,
    child_process::ChildProcess,
    fleet_error::FleetError,
    fleet_spec::{EngineSpec, FleetSpec, StoreSpec},
    programs::{ANY_PORT, Programs},
    running_fleet::{Fleet, OPERATOR_TOKEN, RunningEndpoint, caller_token},
};

//! A deployment of real processes on loopback: stand-ins, endpoint daemons and entries.

mod child;
mod fleet_error;
mod fleet_spec;
mod running_fleet;
mod settings_document;

pub use self::{
    child::Child,
    fleet_error::FleetError,
    fleet_spec::{EngineSpec, FleetSpec, StoreSpec},
    running_fleet::{Fleet, OPERATOR_TOKEN, RunningEndpoint, caller_token},
};

//! Scenarios of experiments: deployment size, workload and injected events.

mod catalog;
mod scenario_spec;
mod site;

pub use self::{
    catalog::{NAMES, find},
    scenario_spec::{Event, EventKind, Scenario},
    site::Site,
};

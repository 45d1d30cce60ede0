//! Experiments: what is deployed, what arrives and what goes wrong.

mod catalog;
mod scenario_spec;
mod site;

pub use self::{
    catalog::{NAMES, find},
    scenario_spec::{Event, EventKind, Scenario},
    site::Site,
};

//! Experiment runs: the three arms of a scenario on one trace, and the overhead of the daemon hop.

mod baseline_arm;
mod deployment;
mod events;
mod hop;
mod measure;
mod our_arm;
mod process_usage;

pub use self::{
    hop::measure_hop,
    measure::{measure, run_cassiagw_only},
};

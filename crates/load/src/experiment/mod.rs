//! Runs of a scenario: three arms on one trace.

mod baseline_arm;
mod deployment;
mod events;
mod hop;
mod measure;
mod our_arm;
mod process_usage;

pub use self::{
    hop::measure_hop,
    measure::{measure, run_only_ours},
};

//! Runs of a scenario: three arms on one trace.

mod baseline_arm;
mod deployment;
mod events;
mod measure;
mod our_arm;

pub use self::measure::measure;

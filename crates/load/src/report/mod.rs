//! Summaries and reports of experiments.

mod arm_summary;
mod measurement;
mod percentile;

pub use self::{
    arm_summary::{ArmRecords, ArmSummary, first_tokens},
    measurement::Measurement,
    percentile::Percentiles,
};

//! Summaries and reports of experiments.

mod arm_summary;
mod measurement;
mod percentiles;

pub use self::{
    arm_summary::{ArmRecords, ArmSummary, first_tokens},
    measurement::Measurement,
    percentiles::Percentiles,
};

//! Admission control for one endpoint: concurrency limit, fair queueing and load shedding.

mod admission_control;
mod admission_request;
mod config;
mod fair_queue;
mod ramp;
mod service_times;
mod workspace_queue;

pub use self::{
    admission_control::AdmissionControl,
    admission_request::{AdmissionRefusal, AdmissionRequest, Decision, RequestOutcome},
    config::AdmissionConfig,
    ramp::{Ramp, RampConfig},
};

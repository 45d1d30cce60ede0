//! Admission control for one endpoint: concurrency limit, fair queueing and load shedding.

mod admission_control;
mod config;
mod fair_queue;
mod ramp;
mod service_times;
mod ticket;
mod workspace_queue;

pub use self::{
    admission_control::AdmissionControl,
    config::AdmissionConfig,
    ramp::{Ramp, RampConfig},
    ticket::{AdmissionRefusal, Decision, Finished, Ticket},
};

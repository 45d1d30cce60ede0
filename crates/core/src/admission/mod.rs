//! Which request starts next on one endpoint, which waits and which is refused.

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

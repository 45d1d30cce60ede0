//! Asynchronous wrapper of the admission core: waits for its decisions and reports outcomes to it.

mod admission_gate;
mod admission_request;
mod endpoint_watch;
mod permit;

pub use self::{
    admission_gate::AdmissionGate,
    admission_request::admission_request,
    endpoint_watch::watch_engine,
    permit::{Permit, QueuedAttempt},
};

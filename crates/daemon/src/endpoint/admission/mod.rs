//! Asynchronous wrapper of the admission core: waits for its decisions and reports outcomes to it.

mod admission_gate;
mod endpoint_watch;
mod permit;
mod ticket;

pub use self::{
    admission_gate::AdmissionGate,
    endpoint_watch::watch_engine,
    permit::{Permit, Place},
    ticket::ticket_of,
};

//! The forwarding role against stand-ins of the platform's store and replicas.

mod drain;
mod hostile;
mod in_force;
mod metrics;
mod peers;
mod support;
mod sweep;
mod weights;

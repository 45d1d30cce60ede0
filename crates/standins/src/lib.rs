//! Stand-ins (test doubles) for the platform, the inference engines and plain HTTP services.
//!
//! They replace external systems in tests and in the demo: each speaks the wire format of the real
//! system, records what it was asked to do and can inject faults.

pub mod engine;
pub mod hosts;
pub mod kv;
pub mod server;
pub mod service;
pub mod store;
pub mod weights;

//! Small stand-ins for the platform, the engines and the plain services.
//!
//! They take the place of outside systems in tests and in the demo, speak the same wire forms, keep
//! their own records of what happened and can be told to fail.

pub mod engine;
pub mod hosts;
pub mod kv;
pub mod server;
pub mod service;
pub mod store;
pub mod weights;

//! Clients of external services: the platform's services, model engines and plain services.
//!
//! There is one module per external interface, and only that module knows its wire format.

pub mod engine;
pub mod hosts;
pub mod http;
pub mod kv;
pub mod service;
pub mod store;
pub mod weights;

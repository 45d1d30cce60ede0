//! Clients of everything outside the system: the platform's services, engines and plain services.
//!
//! Each outside surface is one module; nothing else knows its wire form.

pub mod engine;
pub mod hosts;
pub mod http;
pub mod kv;
pub mod service;
pub mod store;
pub mod weights;

//! Decision logic of cassiagw, free of I/O.
//!
//! Nothing in this crate reads a clock, opens a socket or uses a global random number generator.
//! Callers pass in the time and a seeded generator, so that every decision can be replayed.

pub mod admission;
pub mod cache;
pub mod claims;
pub mod forwarding;
pub mod ids;
pub mod ledger;
pub mod links;
pub mod membership;
pub mod orders;
pub mod retry;
pub mod routing;
pub mod settings;

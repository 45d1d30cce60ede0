//! Stand-ins and common parts of the test programs of the second review.

pub mod crowd;
pub mod daemon;
pub mod deployment;
pub mod desk;
pub mod http;
pub mod json;
pub mod record;
pub mod store;

//! Client of plain services, whose calls may not be repeated.

mod client;

pub use self::client::{ServiceCall, ServiceClient};

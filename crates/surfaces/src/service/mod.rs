//! Client of plain services, whose calls must not be retried.

mod client;

pub use self::client::{ServiceCall, ServiceClient};

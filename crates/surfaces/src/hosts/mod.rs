//! Client of the platform's list of live and leaving hosts, which is updated with a delay.

mod client;

pub use self::client::{HostState, HostsClient, HostsError, ListedHost};

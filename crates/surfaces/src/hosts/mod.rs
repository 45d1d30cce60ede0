//! Client of the platform's list of live and leaving hosts, which is some time late.

mod client;

pub use self::client::{HostState, HostsClient, HostsError, ListedHost};

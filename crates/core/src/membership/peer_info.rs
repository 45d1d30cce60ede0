use crate::ids::{BootId, DaemonId, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identity and address of a daemon, as registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Unique daemon name.
    pub daemon: DaemonId,
    /// Identifier of the daemon's current process start.
    pub boot: BootId,
    /// Availability zone that the daemon runs in.
    pub zone: ZoneId,
    /// Address that the daemon serves the peer protocol on.
    pub address: SocketAddr,
    /// Whether the daemon is an entry, which registers, may be a watcher and may own claim shards.
    pub is_entry: bool,
}

use crate::ids::{BootId, DaemonId, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A daemon as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Current boot.
    pub boot: BootId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address of the peer protocol.
    pub address: SocketAddr,
    /// Whether it is an entry, which may own claim shards.
    pub is_entry: bool,
}

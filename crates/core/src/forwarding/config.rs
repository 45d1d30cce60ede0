use crate::ids::{DaemonId, ZoneId};
use std::{net::SocketAddr, time::Duration};

/// Where the platform's key-value store is and what it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    /// Address.
    pub address: SocketAddr,
    /// Shortest time to live of a lease.
    pub min_lease: Duration,
}

/// Figures that the deployment has agreed with its operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardParams {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Repeats for a service as a share of its requests.
    pub repeat_ratio: f64,
    /// Repeats for a service beyond that share.
    pub repeat_slack: f64,
    /// Window in which repeats are counted.
    pub repeat_window: Duration,
    /// Time after which no request begins on an older weight version.
    pub weights_apply: Duration,
    /// Time for which one holder of the right to order keeps others away.
    pub order_lease: Duration,
}

impl Default for ForwardParams {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            repeat_ratio: 0.2,
            repeat_slack: 50.0,
            repeat_window: Duration::from_secs(10),
            weights_apply: Duration::from_secs(6),
            order_lease: Duration::from_secs(3),
        }
    }
}

/// Checked settings of a daemon in the forwarding role.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardConfig {
    /// Name, unique in the deployment.
    pub name: DaemonId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the daemon takes connections.
    pub ready: SocketAddr,
    /// Where other daemons connect.
    pub peer: SocketAddr,
    /// Where metrics and the state dump are served.
    pub admin: SocketAddr,
    /// Peer addresses of daemons that may be running.
    pub seeds: Vec<SocketAddr>,
    /// Platform's store.
    pub store: StoreConfig,
    /// Open connections of callers and to endpoints at most.
    pub max_connections: usize,
    /// Agreed figures.
    pub params: ForwardParams,
}

use super::RolloutLimits;
use crate::ids::{DaemonId, ZoneId};
use std::{net::SocketAddr, time::Duration};

/// Address and limits of the platform's key-value store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    /// Address that daemons connect to.
    pub address: SocketAddr,
    /// Shortest lease time to live that the store grants.
    pub min_lease: Duration,
}

/// Parameters agreed with the deployment's operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardParams {
    /// Time between SIGTERM and SIGKILL in which the daemon drains.
    pub grace: Duration,
    /// Allowed retries per service, as a fraction of its requests in the window.
    pub retry_ratio: f64,
    /// Allowed retries per service in the window on top of that fraction.
    pub retry_slack: f64,
    /// Sliding window over which retries are counted.
    pub retry_window: Duration,
    /// Time after the announcement of a weight update for which requests may still start on an
    /// older version.
    pub old_weights_limit: Duration,
    /// Time to live of the lease that lets one daemon give orders.
    pub order_lease: Duration,
    /// Time for which an endpoint that leaves still serves.
    pub drain: Duration,
    /// Requests that a cold endpoint may get in any one second, as a multiple of its rate.
    pub cold_ratio: f64,
    /// Requests that it may get in any one second on top of that multiple.
    pub cold_slack: f64,
    /// Bounds for rollouts of services; `None` if the deployment has none.
    pub rollout: Option<RolloutLimits>,
}

impl Default for ForwardParams {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            old_weights_limit: Duration::from_secs(6),
            order_lease: Duration::from_secs(3),
            drain: Duration::from_secs(2),
            cold_ratio: 1.5,
            cold_slack: 5.0,
            rollout: None,
        }
    }
}

/// Validated configuration of a daemon in the forwarding role.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardConfig {
    /// Daemon name, unique in the deployment.
    pub name: DaemonId,
    /// Availability zone the daemon runs in.
    pub zone: ZoneId,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Listening address for other daemons.
    pub peer: SocketAddr,
    /// Listening address for metrics and the state dump.
    pub admin: SocketAddr,
    /// Peer addresses of daemons to contact at startup; some may not be running.
    pub seeds: Vec<SocketAddr>,
    /// The platform's key-value store.
    pub store: StoreConfig,
    /// Maximum number of open connections, from callers and to endpoints together.
    pub max_connections: usize,
    /// Memory for answers of endpoints that have not arrived completely, in bytes.
    pub max_buffered_answer_bytes: usize,
    /// Memory for bodies of requests and for complete answers that are held for callers, in bytes.
    pub max_held_bytes: usize,
    /// Parameters agreed with the deployment's operators.
    pub params: ForwardParams,
}

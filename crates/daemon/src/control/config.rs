use cassiagw_core::membership::GossipConfig;
use cassiagw_rpc::PeerInfo;
use std::{net::SocketAddr, time::Duration};

/// Configuration of a daemon's settings and membership replication.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Identity and address that this daemon announces to its peers.
    pub local_peer: PeerInfo,
    /// Addresses of the key-value service's members.
    pub kv: Vec<SocketAddr>,
    /// Key prefix of the deployment in the key-value service, without a trailing slash.
    pub prefix: String,
    /// Address of the platform's host list; `None` if there is none.
    pub hosts: Option<SocketAddr>,
    /// Peers to sync from at startup, which works while the key-value service is down too.
    pub peers: Vec<SocketAddr>,
    /// Time without confirmed contact after which the daemon accepts no new work.
    pub freshness: Duration,
    /// Seed of the random number generator of the replication.
    pub seed: u64,
    /// Timeouts, intervals and limits of settings and membership replication.
    pub gossip: GossipConfig,
}

impl ControlConfig {
    /// Default time without confirmed contact after which a daemon accepts no new work.
    pub const FRESHNESS: Duration = Duration::from_secs(3);

    /// Default key prefix of the deployment.
    pub const PREFIX: &str = "/cassiagw";

    /// Makes a configuration with default values and the boot number as the seed.
    pub fn new(local_peer: PeerInfo, kv: Vec<SocketAddr>) -> Self {
        let seed = local_peer.boot;
        Self {
            local_peer,
            kv,
            prefix: Self::PREFIX.into(),
            hosts: None,
            peers: Vec::new(),
            freshness: Self::FRESHNESS,
            seed,
            gossip: GossipConfig::default(),
        }
    }

    /// Sets the key prefix of the deployment, without a trailing slash.
    pub fn with_prefix(mut self, prefix: String) -> Self {
        self.prefix = prefix;
        self
    }

    /// Sets the address of the platform's host list.
    pub fn with_hosts(mut self, hosts: SocketAddr) -> Self {
        self.hosts = Some(hosts);
        self
    }

    /// Sets the peers to sync from at startup.
    pub fn with_peers(mut self, peers: Vec<SocketAddr>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the time without confirmed contact after which the daemon accepts no new work.
    pub fn with_freshness(mut self, freshness: Duration) -> Self {
        self.freshness = freshness;
        self
    }

    /// Sets the timeouts, intervals and limits of settings and membership replication.
    pub fn with_gossip(mut self, gossip: GossipConfig) -> Self {
        self.gossip = gossip;
        self
    }
}

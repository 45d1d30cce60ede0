use cassiagw_core::membership::GossipConfig;
use cassiagw_rpc::PeerInfo;
use std::{net::SocketAddr, time::Duration};

/// What the control part of a daemon takes from the daemon's own settings.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// This daemon, as its peers know it.
    pub me: PeerInfo,
    /// Members of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// First part of every key of the deployment, without a slash at its end.
    pub prefix: String,
    /// Address of the platform's host list, if there is one.
    pub hosts: Option<SocketAddr>,
    /// Peers to learn from at start, also while the key-value service is down.
    pub peers: Vec<SocketAddr>,
    /// Time without confirmed contact after which the daemon takes no new work.
    pub freshness: Duration,
    /// Seed of random choices.
    pub seed: u64,
    /// Timeouts, intervals and limits of settings and membership replication.
    pub gossip: GossipConfig,
}

impl ControlConfig {
    /// Time without confirmed contact after which a daemon takes no new work, unless set.
    pub const FRESHNESS: Duration = Duration::from_secs(3);

    /// First part of every key of the deployment, unless set.
    pub const PREFIX: &str = "/cassiagw";

    /// Makes a configuration with defaults for everything but the addresses.
    pub fn new(me: PeerInfo, kv: Vec<SocketAddr>) -> Self {
        let seed = me.boot;
        Self {
            me,
            kv,
            prefix: Self::PREFIX.into(),
            hosts: None,
            peers: Vec::new(),
            freshness: Self::FRESHNESS,
            seed,
            gossip: GossipConfig::default(),
        }
    }

    /// Sets the first part of every key of the deployment.
    pub fn with_prefix(mut self, prefix: String) -> Self {
        self.prefix = prefix;
        self
    }

    /// Sets the address of the platform's host list.
    pub fn with_hosts(mut self, hosts: SocketAddr) -> Self {
        self.hosts = Some(hosts);
        self
    }

    /// Sets the peers to learn from at start.
    pub fn with_peers(mut self, peers: Vec<SocketAddr>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the time without confirmed contact after which the daemon takes no new work.
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

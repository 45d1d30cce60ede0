use std::{net::SocketAddr, time::Duration};

/// Times and limits of the spread of settings and membership.
#[derive(Clone, Debug)]
pub struct SpreadConfig {
    /// Age of the last confirmed contact with the key-value service up to which a view is current.
    pub freshness: Duration,
    /// Age up to which a zone's report that the service is down counts.
    pub down_freshness: Duration,
    /// Time between two rounds of anti-entropy.
    pub sync: Duration,
    /// Time between two reads of the log by a watcher, which confirm that nothing was missed.
    pub poll: Duration,
    /// Time between two reads of the host list by a watcher.
    pub hosts: Duration,
    /// Time between two whole reads of the member list by the watcher of the first slot.
    pub members: Duration,
    /// Lease of a member's registration.
    pub member_lease: Duration,
    /// Time between two keepalives of a member's registration.
    pub member_keepalive: Duration,
    /// Lease of a watcher's slot.
    pub slot_lease: Duration,
    /// Time between two keepalives of a watcher's slot.
    pub slot_keepalive: Duration,
    /// Time without news of a slot's holder after which others try to take it.
    pub slot_silence: Duration,
    /// Time for which a peer that did not answer is left out.
    pub suspicion: Duration,
    /// Time at start in which peers may give the settings before the service is read.
    pub start_wait: Duration,
    /// Longest pause between direct reads by a daemon that is no watcher.
    pub max_backoff: Duration,
    /// Time for which a host must be listed as live before it is taken as back.
    pub host_settle: Duration,
    /// Revisions after which a new snapshot is written.
    pub snapshot_every: u64,
    /// Time over which the watchers that could write a snapshot are spread.
    pub snapshot_spread: Duration,
    /// Peers to learn from while no member is known.
    pub bootstrap: Vec<SocketAddr>,
}

impl Default for SpreadConfig {
    fn default() -> Self {
        Self {
            freshness: Duration::from_secs(3),
            down_freshness: Duration::from_secs(5),
            sync: Duration::from_secs(1),
            poll: Duration::from_millis(500),
            hosts: Duration::from_secs(1),
            members: Duration::from_secs(30),
            member_lease: Duration::from_secs(30),
            member_keepalive: Duration::from_secs(10),
            slot_lease: Duration::from_secs(5),
            slot_keepalive: Duration::from_millis(1_500),
            slot_silence: Duration::from_secs(4),
            suspicion: Duration::from_secs(5),
            start_wait: Duration::from_secs(1),
            max_backoff: Duration::from_secs(8),
            host_settle: Duration::from_secs(5),
            snapshot_every: 500,
            snapshot_spread: Duration::from_secs(60),
            bootstrap: Vec::new(),
        }
    }
}

impl SpreadConfig {
    /// Sets the peers to learn from while no member is known.
    pub fn with_bootstrap(mut self, bootstrap: Vec<SocketAddr>) -> Self {
        self.bootstrap = bootstrap;
        self
    }

    /// Sets the age of the last confirmed contact up to which a view is current.
    pub fn with_freshness(mut self, freshness: Duration) -> Self {
        self.freshness = freshness;
        self
    }
}

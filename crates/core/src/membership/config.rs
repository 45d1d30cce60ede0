use std::{net::SocketAddr, time::Duration};

/// Timeouts, intervals and limits of settings and membership replication.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// Maximum age of the last confirmed read of the key-value service for a view to be current.
    pub freshness: Duration,
    /// Time for which a zone's report that the service is unreachable stays valid.
    pub down_report_ttl: Duration,
    /// Interval between anti-entropy rounds.
    pub sync_interval: Duration,
    /// Interval between a watcher's reads of the settings log, which confirm that its watch missed
    /// nothing.
    pub log_read_interval: Duration,
    /// Interval between a watcher's reads of the host list.
    pub host_list_interval: Duration,
    /// Interval between full reads of the member list by the watcher in slot 0.
    pub member_list_interval: Duration,
    /// Lease duration of a member's registration.
    pub member_lease: Duration,
    /// Interval between keepalives of a member's registration.
    pub member_keepalive_interval: Duration,
    /// Lease duration of a watcher slot.
    pub slot_lease: Duration,
    /// Interval between keepalives of a watcher slot.
    pub slot_keepalive_interval: Duration,
    /// Time without a report of a slot's holder after which other daemons campaign for the slot.
    pub slot_holder_timeout: Duration,
    /// Time for which a peer that did not answer is not selected again.
    pub peer_exclusion: Duration,
    /// Time after startup in which this daemon does not campaign for a watcher slot and, if
    /// `bootstrap` is not empty, requests settings from peers only, before it reads the service.
    pub startup_grace: Duration,
    /// Maximum backoff between direct reads of the service by a daemon that is not a watcher.
    pub max_backoff: Duration,
    /// Time for which a leaving host must be listed as live, or be missing from the list, before it
    /// no longer counts as leaving.
    pub host_return_delay: Duration,
    /// Number of revisions after which a new snapshot is written.
    pub revisions_per_snapshot: u64,
    /// Upper bound of the random delay before a watcher writes a snapshot, so that only one of them
    /// writes it.
    pub snapshot_jitter: Duration,
    /// Addresses of peers to contact while no member is known or the settings are not known.
    pub bootstrap: Vec<SocketAddr>,
}

impl Default for GossipConfig {
    fn default() -> Self {
        Self {
            freshness: Duration::from_secs(3),
            down_report_ttl: Duration::from_secs(5),
            sync_interval: Duration::from_secs(1),
            log_read_interval: Duration::from_millis(500),
            host_list_interval: Duration::from_secs(1),
            member_list_interval: Duration::from_secs(30),
            member_lease: Duration::from_secs(30),
            member_keepalive_interval: Duration::from_secs(10),
            slot_lease: Duration::from_secs(5),
            slot_keepalive_interval: Duration::from_millis(1_500),
            slot_holder_timeout: Duration::from_secs(4),
            peer_exclusion: Duration::from_secs(5),
            startup_grace: Duration::from_secs(1),
            max_backoff: Duration::from_secs(8),
            host_return_delay: Duration::from_secs(5),
            revisions_per_snapshot: 500,
            snapshot_jitter: Duration::from_secs(60),
            bootstrap: Vec::new(),
        }
    }
}

impl GossipConfig {
    /// Sets the peers to contact while no member is known or the settings are not known.
    pub fn with_bootstrap(mut self, bootstrap: Vec<SocketAddr>) -> Self {
        self.bootstrap = bootstrap;
        self
    }

    /// Sets the maximum age of the last confirmed read of the service for a view to be current.
    pub fn with_freshness(mut self, freshness: Duration) -> Self {
        self.freshness = freshness;
        self
    }
}

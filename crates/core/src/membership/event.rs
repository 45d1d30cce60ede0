use super::{PeerInfo, SyncDelta, SyncDigest};
use crate::{
    ids::{DaemonId, HostId, Revision},
    ledger::{LogPage, RawRecord},
    settings::Tree,
};
use std::{net::SocketAddr, sync::Arc, time::Instant};

/// The key-value service did not return a usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceUnavailable;

/// Result of reading the settings log.
#[derive(Clone, Debug)]
pub enum SettingsRead {
    /// Records that follow the revision held locally.
    Page(LogPage),
    /// The log was compacted past the revision held locally.
    Compacted,
    /// The newest snapshot and all records after it.
    Loaded {
        /// Settings in the snapshot; empty if there is no snapshot.
        tree: Arc<Tree>,
        /// Records after the snapshot's revision.
        records: Vec<RawRecord>,
    },
}

/// Result of reading the registered daemons.
#[derive(Clone, Debug, Default)]
pub struct MemberRead {
    /// Service revision at the time of the read.
    pub version: u64,
    /// Registered daemons, each with the service revision of its last change.
    pub members: Vec<(PeerInfo, u64)>,
}

/// Result of campaigning for a watcher slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CampaignOutcome {
    /// This daemon now holds the slot under the given lease.
    Won(i64),
    /// Another daemon holds the slot.
    Held(DaemonId),
}

/// Input to the state machine: a timer, the completion of an [`Action`], or received data.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer tick.
    Tick,
    /// A read of the settings completed.
    SettingsRead {
        /// When the read was sent.
        sent: Instant,
        /// Result of the call.
        result: Result<SettingsRead, ServiceUnavailable>,
    },
    /// The watch of the settings log delivered records.
    LogWatchUpdate(Vec<RawRecord>),
    /// The watch of the settings log ended.
    LogWatchEnded,
    /// A read of the registered daemons completed.
    MembersRead(Result<MemberRead, ServiceUnavailable>),
    /// The watch of the registered daemons delivered changes.
    MemberWatchUpdate {
        /// Service revision after the changes.
        version: u64,
        /// Daemons that registered, each with the service revision of its registration.
        joined: Vec<(PeerInfo, u64)>,
        /// Daemons whose registration was removed.
        left: Vec<DaemonId>,
    },
    /// The watch of the registered daemons ended.
    MemberWatchEnded,
    /// An attempt to register this daemon completed; on success with the lease.
    Registered(Result<i64, ServiceUnavailable>),
    /// A keepalive of the registration completed; true if the lease is still valid.
    RegistrationRenewed(Result<bool, ServiceUnavailable>),
    /// A campaign for a watcher slot completed.
    Campaigned {
        /// Slot index, below [`SLOTS`](super::SLOTS).
        slot: usize,
        /// Result of the call.
        result: Result<CampaignOutcome, ServiceUnavailable>,
    },
    /// A keepalive of the watcher slot completed; true if the lease is still valid.
    SlotRenewed(Result<bool, ServiceUnavailable>),
    /// A read of the host list completed: each host with whether it is leaving; `None` if the read
    /// failed.
    HostsRead(Option<Vec<(HostId, bool)>>),
    /// An anti-entropy request was answered or timed out.
    SyncReplied {
        /// Peer address that the request was sent to.
        to: SocketAddr,
        /// When the request was sent.
        sent: Instant,
        /// Settings revision and response of the peer; `None` if it did not answer.
        reply: Option<(Revision, Box<SyncDelta>)>,
    },
    /// An incoming call carried the caller's settings revision.
    RevisionObserved {
        /// Settings revision of the caller.
        revision: Revision,
        /// Address of the caller's peer protocol.
        address: SocketAddr,
    },
    /// Another component of this daemon read or appended settings records.
    RecordsReceived(Vec<RawRecord>),
}

/// Output of the state machine: an I/O operation for the caller to perform.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the settings log.
    ReadLog {
        /// First settings revision to read.
        next: Revision,
    },
    /// Read the newest snapshot and all records after it.
    LoadSettings,
    /// Write a snapshot of the current settings unless a recent one exists.
    WriteSnapshot {
        /// Settings to write.
        tree: Arc<Tree>,
        /// Minimum number of revisions by which it must be newer than the existing snapshot.
        ahead: u64,
    },
    /// Watch the settings log.
    WatchLog {
        /// First service revision to watch.
        from: u64,
    },
    /// Read the registered daemons.
    ReadMembers,
    /// Watch the registered daemons.
    WatchMembers {
        /// First service revision to watch.
        from: u64,
    },
    /// Stop both watches, because this daemon is no longer a watcher.
    StopWatches,
    /// Register this daemon under a new lease.
    Register,
    /// Renew the lease of the registration.
    RenewRegistration {
        /// Lease to renew.
        lease: i64,
    },
    /// Campaign for a watcher slot.
    Campaign {
        /// Slot index, below [`SLOTS`](super::SLOTS).
        slot: usize,
    },
    /// Renew the lease of the watcher slot.
    RenewSlot {
        /// Lease to renew.
        lease: i64,
    },
    /// Read the host list.
    ReadHosts,
    /// Send an anti-entropy request.
    Sync {
        /// Peer address that the request is sent to.
        to: SocketAddr,
        /// Settings revision of this daemon.
        revision: Revision,
        /// Versions and digests of the local state.
        digest: SyncDigest,
    },
}

use super::{News, PeerInfo, Probe};
use crate::{
    ids::{DaemonId, HostId, Revision},
    ledger::{LogPage, RawRecord},
    settings::Tree,
};
use std::{net::SocketAddr, sync::Arc, time::Instant};

/// The key-value service gave no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceDown;

/// Outcome of a read of the settings log.
#[derive(Clone, Debug)]
pub enum SettingsRead {
    /// Records after those that are held.
    Page(LogPage),
    /// The log no longer reaches back to what is held.
    Compacted,
    /// The newest snapshot and every record after it.
    Loaded {
        /// Settings of the snapshot; empty where there is none.
        tree: Arc<Tree>,
        /// Records after it.
        records: Vec<RawRecord>,
    },
}

/// Outcome of a read of the registered daemons.
#[derive(Clone, Debug, Default)]
pub struct MemberRead {
    /// Revision of the service at the read.
    pub version: u64,
    /// Daemons with the revision of the service at their last change.
    pub members: Vec<(PeerInfo, u64)>,
}

/// Outcome of an attempt to take a watcher's slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CampaignOutcome {
    /// The slot is held under this lease.
    Won(i64),
    /// Another daemon holds it.
    Held(DaemonId),
}

/// What happened to a daemon's control part.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A read of the settings ended.
    SettingsRead {
        /// When it was sent.
        sent: Instant,
        /// Outcome.
        result: Result<SettingsRead, ServiceDown>,
    },
    /// The watch of the log gave records.
    LogWatched(Vec<RawRecord>),
    /// The watch of the log ended.
    LogWatchEnded,
    /// A read of the members ended.
    MembersRead(Result<MemberRead, ServiceDown>),
    /// The watch of the members gave changes up to a revision of the service.
    MembersWatched {
        /// Revision of the service after them.
        version: u64,
        /// Daemons that registered, with the revision of their change.
        joined: Vec<(PeerInfo, u64)>,
        /// Daemons whose registration ended.
        left: Vec<DaemonId>,
    },
    /// The watch of the members ended.
    MemberWatchEnded,
    /// The registration of this daemon ended, with its lease where it took effect.
    Registered(Result<i64, ServiceDown>),
    /// A keepalive of the registration ended and told whether the lease still runs.
    RegistrationKept(Result<bool, ServiceDown>),
    /// An attempt to take a slot ended.
    Campaigned {
        /// Slot.
        slot: usize,
        /// Outcome.
        result: Result<CampaignOutcome, ServiceDown>,
    },
    /// A keepalive of the slot ended and told whether the lease still runs.
    SlotKept(Result<bool, ServiceDown>),
    /// The host list was read: every host with whether it is leaving.
    HostsRead(Option<Vec<(HostId, bool)>>),
    /// A peer answered an anti-entropy request, or did not.
    SyncReplied {
        /// Address of the peer.
        to: SocketAddr,
        /// When the request was sent.
        sent: Instant,
        /// Revision and news of the peer.
        reply: Option<(Revision, Box<News>)>,
    },
    /// A call carried a revision of the settings.
    Observed {
        /// Revision.
        revision: Revision,
        /// Peer address of the caller.
        address: SocketAddr,
    },
    /// Records were read or appended by another part of this daemon.
    Fed(Vec<RawRecord>),
}

/// What the control part wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the log from a revision on.
    ReadLog {
        /// First revision.
        next: Revision,
    },
    /// Read the newest snapshot and the records after it.
    LoadSettings,
    /// Write a snapshot of the settings in force, unless a recent one is there.
    WriteSnapshot {
        /// Settings.
        tree: Arc<Tree>,
        /// Least number of revisions that it must be ahead of the one that is there.
        ahead: u64,
    },
    /// Watch the log from a revision of the service on.
    WatchLog {
        /// First revision of the service.
        from: u64,
    },
    /// Read the registered daemons.
    ReadMembers,
    /// Watch the registered daemons from a revision of the service on.
    WatchMembers {
        /// First revision of the service.
        from: u64,
    },
    /// End the watches: this daemon is no longer a watcher.
    StopWatches,
    /// Register this daemon under a new lease.
    Register,
    /// Keep the registration.
    KeepRegistration {
        /// Its lease.
        lease: i64,
    },
    /// Try to take a slot.
    Campaign {
        /// Slot.
        slot: usize,
    },
    /// Keep the slot.
    KeepSlot {
        /// Its lease.
        lease: i64,
    },
    /// Read the host list.
    ReadHosts,
    /// Send an anti-entropy request.
    Sync {
        /// Address of the peer.
        to: SocketAddr,
        /// Settings revision of this daemon.
        revision: Revision,
        /// Request.
        probe: Probe,
    },
}

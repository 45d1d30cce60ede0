use super::PeerInfo;
use crate::ids::DaemonId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of removals kept for peers that are behind.
const MAX_REMOVALS: usize = 2_048;

/// Registered daemons at one revision of the key-value service.
///
/// Tables are ordered by that revision, so two daemons can exchange the changes between their
/// revisions without comparing the tables.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    version: u64,
    members: BTreeMap<DaemonId, (PeerInfo, u64)>,
    removals: VecDeque<(u64, DaemonId)>,
    /// Oldest version for which `removals` holds every later removal.
    removal_horizon: u64,
}

/// Difference between a peer's member table and a newer one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembersDelta {
    /// The peer's table is up to date.
    #[default]
    Same,
    /// Changes since the version of the peer's table.
    Changes {
        /// Version after the changes.
        version: u64,
        /// Daemons that registered, each with the service revision of its registration.
        joined: Vec<(PeerInfo, u64)>,
        /// Daemons whose registration was removed.
        left: Vec<DaemonId>,
    },
    /// The whole table, sent if the changes are no longer known.
    Whole {
        /// Version of the table.
        version: u64,
        /// All registered daemons, each with the service revision of its last change.
        members: Vec<(PeerInfo, u64)>,
    },
}

impl MemberTable {
    /// Service revision that the table reflects.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Iterates over the registered daemons.
    pub fn members(&self) -> impl Iterator<Item = &PeerInfo> {
        self.members.values().map(|(info, _)| info)
    }

    /// Returns a registered daemon by name.
    pub fn get(&self, daemon: &str) -> Option<&PeerInfo> {
        self.members.get(daemon).map(|(info, _)| info)
    }

    /// Replaces the table by a full read at a service revision, unless the table is newer, and
    /// returns whether it changed.
    pub fn on_read(&mut self, version: u64, members: Vec<(PeerInfo, u64)>) -> bool {
        if version < self.version {
            return false;
        }
        let members = members
            .into_iter()
            .map(|(info, changed)| (info.daemon.clone(), (info, changed)))
            .collect::<BTreeMap<_, _>>();
        let left = self.members.keys().filter(|daemon| !members.contains_key(*daemon));
        let left = left.cloned().collect::<Vec<_>>();
        left.into_iter().for_each(|daemon| self.record_removal(version, daemon));
        let is_changed = self.members != members;
        self.members = members;
        self.version = version;
        is_changed
    }

    /// Applies the changes up to a service revision, unless the table already reflects it, and
    /// returns whether there were any.
    pub fn on_changes(
        &mut self,
        version: u64,
        joined: Vec<(PeerInfo, u64)>,
        left: Vec<DaemonId>,
    ) -> bool {
        if version <= self.version {
            return false;
        }
        let is_changed = !joined.is_empty() || !left.is_empty();
        for daemon in left {
            if self.members.remove(&daemon).is_some() {
                self.record_removal(version, daemon);
            }
        }
        for (info, changed) in joined {
            self.members.insert(info.daemon.clone(), (info, changed));
        }
        self.version = version;
        is_changed
    }

    /// Returns what a peer's table at `version` lacks.
    pub fn delta_for(&self, version: u64) -> MembersDelta {
        if version >= self.version {
            return MembersDelta::Same;
        }
        if version == 0 || version < self.removal_horizon {
            let members = self.members.values().cloned().collect();
            return MembersDelta::Whole { version: self.version, members };
        }
        let joined = self.members.values().filter(|(_, changed)| *changed > version);
        let left = self.removals.iter().filter(|(removed, _)| *removed > version);
        let joined = joined.cloned().collect::<Vec<_>>();
        let left = left
            .map(|(_, daemon)| daemon)
            .filter(|daemon| !self.members.contains_key(*daemon))
            .cloned()
            .collect::<Vec<_>>();
        MembersDelta::Changes { version: self.version, joined, left }
    }

    /// Applies a difference received from a peer and returns whether the table changed.
    pub fn apply_delta(&mut self, delta: MembersDelta) -> bool {
        match delta {
            MembersDelta::Same => false,
            MembersDelta::Changes { version, joined, left } => {
                self.on_changes(version, joined, left)
            }
            MembersDelta::Whole { version, members } => {
                let is_changed = version > self.version && self.on_read(version, members);
                // Individual removals before the full table are unknown, so older peers need the
                // full table.
                self.removal_horizon = if is_changed { version } else { self.removal_horizon };
                is_changed
            }
        }
    }

    fn record_removal(&mut self, version: u64, daemon: DaemonId) {
        self.removals.push_back((version, daemon));
        if self.removals.len() > MAX_REMOVALS
            && let Some((dropped, _)) = self.removals.pop_front()
        {
            self.removal_horizon = self.removal_horizon.max(dropped);
        }
    }
}

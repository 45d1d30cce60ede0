use crate::ids::{FastMap, FastSet, HostId};
use serde::{Deserialize, Serialize};
use std::{
    hash::{BuildHasher, Hasher},
    sync::Arc,
    time::{Duration, Instant},
};

/// Replicated state of one host; a higher version replaces a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostRecord {
    /// Incremented on each change.
    pub version: u32,
    /// Whether the host is leaving; at equal versions `true` wins.
    pub is_leaving: bool,
}

/// Hosts that are or were leaving, merged from the watchers' reads of the host list and from peers.
#[derive(Clone, Debug, Default)]
pub struct HostTable {
    hosts: FastMap<HostId, HostRecord>,
    back_since: FastMap<HostId, Instant>,
    leaving: Arc<FastSet<HostId>>,
    digest: u64,
}

impl HostTable {
    /// Hosts that are currently leaving.
    pub fn leaving(&self) -> &Arc<FastSet<HostId>> {
        &self.leaving
    }

    /// Order-independent hash of the table; equal tables have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Merges a read of the host list and returns whether the set of leaving hosts changed.
    ///
    /// A host counts as leaving immediately, but as back only after it has been listed as live, or
    /// missing, for `return_delay`: host lists can lag, and a stale list must not bring back a host
    /// that is leaving.
    pub fn on_host_list(
        &mut self,
        now: Instant,
        list: &[(HostId, bool)],
        return_delay: Duration,
    ) -> bool {
        let listed = list
            .iter()
            .filter(|(_, is_leaving)| *is_leaving)
            .map(|(host, _)| host)
            .collect::<FastSet<_>>();
        let newly_leaving = listed.iter().filter(|host| !self.leaving.contains(**host));
        let newly_leaving = newly_leaving.map(|host| (*host).clone()).collect::<Vec<_>>();
        self.back_since.retain(|host, _| !listed.contains(host));
        let mut back = Vec::new();
        for host in self.leaving.iter().filter(|host| !listed.contains(host)) {
            let since = *self.back_since.entry(host.clone()).or_insert(now);
            if now.saturating_duration_since(since) >= return_delay {
                back.push(host.clone());
            }
        }
        let changes = newly_leaving.into_iter().map(|host| (host, true));
        let changes = changes.chain(back.into_iter().map(|host| (host, false)));
        let changes = changes
            .map(|(host, is_leaving)| {
                let version =
                    self.hosts.get(&host).map_or(1, |record| record.version.saturating_add(1));
                (host, HostRecord { version, is_leaving })
            })
            .collect();
        self.merge(changes)
    }

    /// Merges a peer's table and returns whether the set of leaving hosts changed.
    pub fn merge(&mut self, records: Vec<(HostId, HostRecord)>) -> bool {
        let mut is_changed = false;
        for (host, record) in records {
            let known = self.hosts.get(&host).copied();
            if known.is_none_or(|known| known < record) {
                is_changed |= known.is_some_and(|known| known.is_leaving) != record.is_leaving;
                self.hosts.insert(host, record);
                self.digest = 0;
            }
        }
        if self.digest == 0 {
            self.digest = self.hosts.iter().fold(0, |sum, entry| sum ^ digest_of(entry));
        }
        if is_changed {
            let leaving = self.hosts.iter().filter(|(_, record)| record.is_leaving);
            self.leaving = Arc::new(leaving.map(|(host, _)| host.clone()).collect());
            let leaving = self.leaving.clone();
            self.back_since.retain(|host, _| leaving.contains(host));
        }
        is_changed
    }

    /// Returns the whole table for a peer whose digest differs; `None` if the digests are equal.
    pub fn records_if_changed(&self, digest: u64) -> Option<Vec<(HostId, HostRecord)>> {
        let all = || self.hosts.iter().map(|(host, record)| (host.clone(), *record)).collect();
        (digest != self.digest).then(all)
    }
}

/// Hashes one entry; the result is the same in every process.
fn digest_of((host, record): (&HostId, &HostRecord)) -> u64 {
    let mut hasher = foldhash::quality::FixedState::default().build_hasher();
    hasher.write(host.as_bytes());
    hasher.write_u32(record.version);
    hasher.write_u8(record.is_leaving.into());
    hasher.finish()
}

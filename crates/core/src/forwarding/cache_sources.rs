use crate::ids::{DaemonId, FastMap, FastSet, ServiceId, ZoneId, stable_hash};
use std::time::{Duration, Instant};

/// Largest number of daemons that all follow every store themselves. A store serves only some
/// requests for its changes at once.
const MAX_DIRECT_FOLLOWERS: usize = 12;
/// Largest number of groups; each has one daemon that follows a store, and another one while that
/// one fails.
const MAX_GROUPS: usize = 6;
/// Number of daemons of a group that are asked before this daemon follows a store itself.
const MAX_ASKED: usize = 2;
/// Time for which a daemon that did not answer, or did not know a store, is not asked again.
const RETRY_AFTER: Duration = Duration::from_secs(4);

/// From whom this daemon learns the content of a cache store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheSource {
    /// From the store itself.
    Store,
    /// From another daemon.
    Daemon(DaemonId),
}

/// Selects the daemons that follow each cache store, in a fleet with more daemons than a store
/// serves. The others learn its content from one that does, in the same availability zone if there
/// are few of these.
#[derive(Clone, Debug, Default)]
pub struct CacheSources {
    own: DaemonId,
    others: Vec<DaemonId>,
    /// Members of this daemon's group, itself included.
    group: Vec<DaemonId>,
    /// Until when a daemon is not asked.
    unreachable: FastMap<DaemonId, Instant>,
    /// Until when a daemon is not asked about a store.
    ignorant: FastMap<(DaemonId, ServiceId), Instant>,
}

impl CacheSources {
    /// Sets the daemon `own` and the other members, with their availability zones.
    pub fn set_members<'a>(
        &mut self,
        own: (&DaemonId, &ZoneId),
        others: impl IntoIterator<Item = (&'a DaemonId, &'a ZoneId)>,
    ) {
        let others: Vec<_> = others.into_iter().collect();
        let distinct: FastSet<&ZoneId> =
            others.iter().map(|(_, zone)| *zone).chain([own.1]).collect();
        let mut zones: Vec<&ZoneId> = distinct.into_iter().collect();
        zones.sort();
        let group_of =
            |zone: &ZoneId| zones.iter().position(|other| *other == zone).map(|at| at % MAX_GROUPS);
        let of_group = others.iter().filter(|(_, zone)| group_of(zone) == group_of(own.1));
        self.group = of_group.map(|(name, _)| (*name).clone()).chain([own.0.clone()]).collect();
        self.others = others.iter().map(|(name, _)| (*name).clone()).collect();
        self.own = own.0.clone();
    }

    /// From whom to learn the content of a store now.
    pub fn source(&self, now: Instant, store: &ServiceId) -> CacheSource {
        if self.others.len() < MAX_DIRECT_FOLLOWERS || self.is_responsible(store) {
            return CacheSource::Store;
        }
        let mut ranked: Vec<&DaemonId> = self.group.iter().collect();
        ranked.sort_by_key(|daemon| rank(store, daemon));
        let is_in = |until: Option<&Instant>| until.is_some_and(|until| now < *until);
        let mut ignorant = None;
        for daemon in ranked.into_iter().take(MAX_ASKED) {
            let is_ignorant = is_in(self.ignorant.get(&(daemon.clone(), store.clone())));
            match () {
                () if *daemon == self.own => return CacheSource::Store,
                () if is_in(self.unreachable.get(daemon)) => {}
                () if is_ignorant => ignorant = Some(daemon),
                () => return CacheSource::Daemon(daemon.clone()),
            }
        }
        // Daemons that answer but do not know the content have probably lost the store as well.
        ignorant.map_or(CacheSource::Store, |daemon| CacheSource::Daemon(daemon.clone()))
    }

    /// Whether this daemon is the one that frees parts of a store.
    pub fn is_responsible(&self, store: &ServiceId) -> bool {
        let own = rank(store, &self.own);
        self.others.iter().all(|other| rank(store, other) > own)
    }

    /// Records that a daemon did not answer.
    pub fn on_unreachable(&mut self, now: Instant, daemon: DaemonId) {
        self.unreachable.insert(daemon, now + RETRY_AFTER);
    }

    /// Records that a daemon does not know the content of a store.
    pub fn on_ignorant(&mut self, now: Instant, daemon: DaemonId, store: ServiceId) {
        self.ignorant.insert((daemon, store), now + RETRY_AFTER);
    }

    /// Forgets failures that no longer count.
    pub fn expire(&mut self, now: Instant) {
        self.unreachable.retain(|_, until| now < *until);
        self.ignorant.retain(|_, until| now < *until);
    }
}

/// Rank of a daemon for a store by rendezvous hashing; the lowest is selected.
fn rank(store: &ServiceId, daemon: &DaemonId) -> u64 {
    stable_hash(&(stable_hash(store.as_bytes()) ^ stable_hash(daemon.as_bytes())).to_le_bytes())
}

use super::{CacheScope, KnownStore, PartChange, Prompt, PromptPart, RelayCursor, RelayedStore};
use crate::ids::{BoundedMap, FastMap, ServiceId, ZoneId, stable_hash};
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Maximum duration of a fetch. Parts are deleted only after every fetch that may have started has
/// ended.
pub const MAX_FETCH: Duration = Duration::from_millis(600);
/// Time for which a part that is being saved is not saved again.
const SAVE_DEDUP_WINDOW: Duration = Duration::from_secs(4);
/// Capacity of the record of saves in progress.
const MAX_PENDING_SAVES: usize = 4_096;
/// Smallest part worth transferring, in tokens.
const MIN_PART_TOKENS: u64 = 64;

/// A configured store of KV-cache parts.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// Service name of the store.
    pub name: ServiceId,
    /// Address for fetching and saving parts.
    pub address: SocketAddr,
    /// Availability zone the store runs in.
    pub zone: ZoneId,
    /// Capacity in tokens.
    pub capacity_tokens: u64,
}

/// A prompt part that a store holds completely.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPart {
    /// Scope under which the part was saved.
    pub scope: String,
    /// Part identifier, as named by the caller.
    pub part: String,
    /// Size in tokens.
    pub tokens: u64,
}

/// A part added to or removed from a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEvent {
    /// Sequence number; consecutive without gaps.
    pub number: u64,
    /// Whether the part was added rather than removed.
    pub is_added: bool,
    /// The part that was added or removed.
    pub part: StoredPart,
}

impl StoreEvent {
    /// The change to the store's content.
    pub fn into_change(self) -> PartChange {
        PartChange { is_added: self.is_added, part: self.part }
    }
}

/// Change notification of a store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreUpdate {
    /// Identifier of the store's process start; a restarted store is empty.
    pub boot: u64,
    /// Sequence number of the latest change.
    pub last: u64,
    /// Whether earlier changes are missing because the store no longer has them.
    pub has_gap: bool,
    /// Current time on the endpoints' clock, in Unix milliseconds.
    pub clock_ms: Option<f64>,
    /// Changes since the previous notification.
    pub events: Vec<StoreEvent>,
}

/// Full listing of a store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreContent {
    /// Identifier of the store's process start.
    pub boot: u64,
    /// Sequence number of the latest change that the listing is sure to include.
    pub last: u64,
    /// Parts that the store holds.
    pub parts: Vec<StoredPart>,
}

/// Input for planning the fetches and saves of a prompt's parts.
#[derive(Clone, Copy, Debug)]
pub struct MovePlan<'a> {
    /// Scope in which the prompt's cached parts may be reused.
    pub scope: &'a CacheScope,
    /// The prompt whose parts are planned.
    pub prompt: &'a Prompt,
    /// Availability zone of the engine that runs the prompt.
    pub zone: &'a ZoneId,
    /// Time after which a fetch is abandoned, at most [`MAX_FETCH`].
    pub fetch_limit: Duration,
}

/// Source and target stores for the parts of a prompt, one element per part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartMoves {
    /// Store to fetch each part from; `None` if the part is not fetched.
    pub sources: Vec<Option<SocketAddr>>,
    /// Store to save each part to; `None` if the part is not saved.
    pub targets: Vec<Option<SocketAddr>>,
    /// Time on the endpoints' clock after which a fetch is abandoned, in Unix milliseconds.
    pub discard_at_ms: Option<u64>,
}

/// Content of the cache stores, as known to this daemon.
///
/// Parts are fetched only while a store's changes are followed without interruption. A part is
/// never deleted while it may be used: parts of older weight versions are deleted once no engine
/// runs these.
#[derive(Debug)]
pub struct CacheStoreIndex {
    stores: FastMap<ServiceId, KnownStore>,
    pending_saves: BoundedMap<(u64, u64), Instant>,
    /// Time on the endpoints' clock and when it was received.
    clock: Option<(f64, Instant)>,
    seed: u64,
}

impl Default for CacheStoreIndex {
    fn default() -> Self {
        Self {
            stores: FastMap::default(),
            pending_saves: BoundedMap::new(MAX_PENDING_SAVES),
            clock: None,
            seed: 0,
        }
    }
}

impl CacheStoreIndex {
    /// Sets the seed for identifiers that must differ from those of the other daemons. It has no
    /// effect on stores that are already set.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the configured stores, keeping the known content of those whose name and address
    /// are unchanged.
    pub fn set_stores(&mut self, now: Instant, stores: &[CacheStore]) {
        self.stores.retain(|name, known| {
            stores.iter().any(|store| store.name == *name && store.address == known.store.address)
        });
        for store in stores {
            let seed = self.seed ^ stable_hash(store.name.as_bytes());
            let new = || KnownStore::new(now, store.clone(), seed);
            self.stores.entry(store.name.clone()).or_insert_with(new).store = store.clone();
        }
    }

    /// Sequence number of the last known change of a store; `None` if its full content must be read
    /// first.
    pub fn last_event(&self, now: Instant, store: &str) -> Option<u64> {
        self.stores.get(store)?.last_event(now)
    }

    /// Replaces the known content of a store with a full listing.
    pub fn on_content(&mut self, now: Instant, store: &str, content: StoreContent) {
        if let Some(known) = self.stores.get_mut(store) {
            known.on_content(now, content);
        }
    }

    /// Applies a change notification.
    ///
    /// A missed change can only be an addition or the removal of an unused part, because parts in
    /// use are not deleted. It is therefore enough to read the full content again after a delay.
    pub fn on_update(&mut self, now: Instant, store: &str, update: StoreUpdate) {
        if let Some(clock_ms) = update.clock_ms {
            self.clock = Some((clock_ms, now));
        }
        if let Some(known) = self.stores.get_mut(store) {
            known.on_update(now, update);
        }
    }

    /// Positions from which another daemon should continue to relay the content of stores.
    pub fn relay_cursors(&self, stores: &[ServiceId]) -> Vec<(ServiceId, Option<RelayCursor>)> {
        let cursor = |name| self.stores.get(name).and_then(KnownStore::relay_cursor);
        stores.iter().map(|name| (name.clone(), cursor(name))).collect()
    }

    /// Content of the wanted stores for another daemon, from the positions that it has reached.
    /// Stores whose content is not trusted here are left out.
    pub fn relay(
        &self,
        now: Instant,
        wanted: &[(ServiceId, Option<RelayCursor>)],
    ) -> Vec<RelayedStore> {
        let relayed = wanted.iter().filter_map(|(name, cursor)| {
            let relayed = self.stores.get(name)?.relay(now, *cursor)?;
            Some(RelayedStore { clock_ms: self.clock_at(now), ..relayed })
        });
        relayed.collect()
    }

    /// Applies the content of a store that another daemon told. It was asked at `asked_at`.
    pub fn on_relayed(&mut self, asked_at: Instant, now: Instant, relayed: RelayedStore) {
        if let Some(clock_ms) = relayed.clock_ms {
            // As of the sending of the answer, so the clock is behind rather than ahead.
            self.clock = Some((clock_ms, now));
        }
        if let Some(known) = self.stores.get_mut(&relayed.store) {
            known.on_relayed(asked_at, relayed);
        }
    }

    /// Records that a store does not answer; its content is read again once it does.
    pub fn on_unreachable(&mut self, store: &str) {
        if let Some(known) = self.stores.get_mut(store) {
            known.invalidate();
        }
    }

    /// Availability zones of the stores that hold a part.
    pub fn zones<'a>(
        &'a self,
        now: Instant,
        scope: &'a CacheScope,
        part: &'a str,
    ) -> impl Iterator<Item = &'a ZoneId> {
        let trusted = self.stores.values().filter(move |known| known.is_trusted(now));
        trusted.filter(move |known| known.has(scope, part)).map(|known| &known.store.zone)
    }

    /// Plans from where to fetch and where to save the shared parts of a prompt.
    ///
    /// Nothing is fetched until the endpoints' clock is known, since the time limit of a fetch is
    /// given on that clock.
    pub fn moves(&mut self, now: Instant, plan: &MovePlan<'_>) -> PartMoves {
        let MovePlan { scope, prompt, zone, fetch_limit } = *plan;
        let shared = prompt.parts.len().saturating_sub(1);
        let fetch_limit = fetch_limit.min(MAX_FETCH);
        let discard_at_ms = self.clock_ms(now + fetch_limit);
        let mut moves = PartMoves { discard_at_ms, ..PartMoves::default() };
        for (index, part) in prompt.parts.iter().enumerate() {
            let is_shared = index < shared && part.tokens >= MIN_PART_TOKENS;
            let may_fetch = is_shared && discard_at_ms.is_some();
            let source = self.source(now, scope, part, zone).filter(|_| may_fetch);
            let saves = is_shared && source.is_none();
            moves.targets.push(saves.then(|| self.target(now, scope, part, zone)).flatten());
            moves.sources.push(source);
        }
        moves
    }

    /// Parts of a store whose scope is no longer used, with the process start of the store; `None`
    /// if there are none.
    pub fn unused_parts(
        &self,
        store: &str,
        is_used: impl Fn(&CacheScope) -> bool,
    ) -> Option<(u64, Vec<StoredPart>)> {
        let known = self.stores.get(store)?;
        let (boot, _) = known.position?;
        let unused = known.parts.iter().filter(|(scope, _)| !is_used(scope));
        let parts = unused.flat_map(|(scope, parts)| {
            parts.iter().map(|(part, tokens)| StoredPart {
                scope: scope.clone(),
                part: part.clone(),
                tokens: *tokens,
            })
        });
        let parts: Vec<StoredPart> = parts.collect();
        (!parts.is_empty()).then_some((boot, parts))
    }

    /// Records that parts of a store were deleted.
    pub fn on_deleted(&mut self, store: &str, boot: u64, parts: &[StoredPart]) {
        let known = self.stores.get_mut(store);
        let same = known.filter(|known| known.position.is_some_and(|(known, _)| known == boot));
        if let Some(known) = same {
            known.on_deleted(parts);
        }
    }

    /// Time on the endpoints' clock at `at`, in Unix milliseconds; `None` until a store has
    /// reported it.
    pub fn clock_ms(&self, at: Instant) -> Option<u64> {
        self.clock_at(at).map(|clock_ms| clock_ms as u64)
    }

    fn clock_at(&self, at: Instant) -> Option<f64> {
        let (clock_ms, received) = self.clock?;
        let since = at.saturating_duration_since(received);
        Some(clock_ms + since.as_secs_f64() * 1e3)
    }

    /// Stores with the number of tokens each is known to hold, for the state dump.
    pub fn stores(&self) -> impl Iterator<Item = (&CacheStore, u64)> {
        self.stores.values().map(|known| (&known.store, known.used_tokens))
    }

    fn source(
        &self,
        now: Instant,
        scope: &CacheScope,
        part: &PromptPart,
        zone: &ZoneId,
    ) -> Option<SocketAddr> {
        let trusted = self.stores.values().filter(|known| known.is_trusted(now));
        let holders = trusted.filter(|known| known.has(scope, &part.id));
        let nearest = holders.min_by_key(|known| {
            (known.store.zone != *zone, stable_hash(known.store.name.as_bytes()))
        });
        nearest.map(|known| known.store.address)
    }

    /// Store with room for a part, preferably in the given zone; among several the part's hash
    /// decides.
    fn target(
        &mut self,
        now: Instant,
        scope: &CacheScope,
        part: &PromptPart,
        zone: &ZoneId,
    ) -> Option<SocketAddr> {
        let key = (stable_hash(scope.as_bytes()), stable_hash(part.id.as_bytes()));
        if self.pending_saves.peek(&key).is_some_and(|since| now < *since + SAVE_DEDUP_WINDOW) {
            return None;
        }
        let with_room = self
            .stores
            .values()
            .filter(|known| known.is_trusted(now) && known.free_tokens() >= part.tokens);
        let best = with_room.max_by(|a, b| {
            let rank = |known: &KnownStore| {
                let is_near = known.store.zone == *zone;
                let share = known.store.capacity_tokens as f64;
                (is_near, weighted_rank(stable_hash(known.store.name.as_bytes()) ^ key.1, share))
            };
            let (a, b) = (rank(a), rank(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })?;
        let (name, address) = (best.store.name.clone(), best.store.address);
        *self.pending_saves.entry(&key, || now) = now;
        if let Some(known) = self.stores.get_mut(&name) {
            known.used_tokens += part.tokens;
        }
        Some(address)
    }
}

/// Weighted rendezvous hashing: the candidate with the highest rank is selected, with probability
/// proportional to `size`.
fn weighted_rank(hash: u64, size: f64) -> f64 {
    let uniform = (stable_hash(&hash.to_le_bytes()) >> 11) as f64 / (1u64 << 53) as f64;
    -size / uniform.max(f64::MIN_POSITIVE).ln()
}

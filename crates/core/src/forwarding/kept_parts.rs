use super::{Prompt, PromptPart};
use crate::ids::{BoundedMap, FastMap, ServiceId, ZoneId, stable_hash};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time after a store's last answer for which what it holds counts as known.
///
/// It bounds how long a part that was freed, or lost by a restart, is still taken to be there.
const FRESH_FOR: Duration = Duration::from_millis(1_600);
/// Longest time for a fetch; parts are freed only when the last one that may have begun is over.
pub const MAX_FETCH: Duration = Duration::from_millis(600);
/// Time after a change that was not told until the content is read again.
const READ_AGAIN_AFTER: Duration = Duration::from_secs(6);
/// Time for which a part that is being saved is not saved again.
const SAVING_FOR: Duration = Duration::from_secs(4);
/// Parts that are being saved and remembered as such.
const REMEMBERED_SAVES: usize = 4_096;
/// Part of a store that is filled, in percent; the rest covers saves that others have begun.
const FILL_PERCENT: u64 = 96;
/// Smallest part that is worth a transfer, in tokens.
const MIN_PART_TOKENS: u64 = 64;

/// Scope within which kept parts may be used: one model, one weight version and, for a dedicated
/// workspace, that workspace.
pub type CacheScope = str;

/// Makes the scope of a model's weight version, for one workspace if that is named.
pub fn cache_scope(model: &str, version: u64, workspace: &str) -> String {
    format!("{model}/{version}/{workspace}")
}

/// Model and weight version of a scope; none for a scope that this system did not make.
pub fn scope_weights(scope: &CacheScope) -> Option<(&str, u64)> {
    let mut fields = scope.splitn(3, '/');
    let model = fields.next()?;
    let version = fields.next()?.parse().ok()?;
    Some((model, version))
}

/// A store of kept cache, as the settings name it.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// Name.
    pub name: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Tokens that it holds.
    pub capacity_tokens: u64,
}

/// A part that a store holds whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredPart {
    /// Scope that it was saved under.
    pub scope: String,
    /// Id.
    pub part: String,
    /// Tokens.
    pub tokens: u64,
}

/// A change at a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEvent {
    /// Number; numbers follow each other without gaps.
    pub number: u64,
    /// Whether the part is there now.
    pub is_added: bool,
    /// Part.
    pub part: StoredPart,
}

/// What a store tells of its changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreNews {
    /// Start of the store; it holds nothing from before.
    pub boot: u64,
    /// Number of the last change.
    pub last: u64,
    /// Whether changes in between are no longer told.
    pub is_lost: bool,
    /// Time on the endpoints' clock, in Unix milliseconds.
    pub clock_ms: Option<f64>,
    /// Changes.
    pub events: Vec<StoreEvent>,
}

/// All that a store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreContent {
    /// Start of the store.
    pub boot: u64,
    /// Number of the last change before.
    pub last: u64,
    /// Parts.
    pub parts: Vec<StoredPart>,
}

/// A prompt whose parts may be fetched and saved.
#[derive(Clone, Copy, Debug)]
pub struct MovePlan<'a> {
    /// Scope of its kept cache.
    pub scope: &'a CacheScope,
    /// Prompt.
    pub prompt: &'a Prompt,
    /// Availability zone of the engine that runs it.
    pub zone: &'a ZoneId,
    /// Time after which a fetch is discarded.
    pub fetch_limit: Duration,
}

/// Where the parts of a prompt come from and go to, one entry a part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartMoves {
    /// Stores to fetch from.
    pub sources: Vec<Option<SocketAddr>>,
    /// Stores to save to.
    pub targets: Vec<Option<SocketAddr>>,
    /// Time on the endpoints' clock after which a fetch is discarded, in Unix milliseconds.
    pub discard_at_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct KnownStore {
    store: CacheStore,
    /// Start of the store and the number of the last change, once its content was read.
    position: Option<(u64, u64)>,
    /// When to read the content again, after a change that was not told.
    read_again_at: Option<Instant>,
    fresh_at: Instant,
    /// Tokens of each part, by scope and part.
    parts: FastMap<String, FastMap<String, u64>>,
    used_tokens: u64,
}

/// What the stores of kept cache hold, as far as this daemon was told.
///
/// Parts are read only while a store's changes are heard without a gap. Nothing is freed while it
/// can be used: parts of older weights are freed once no engine runs these.
#[derive(Debug)]
pub struct KeptParts {
    stores: FastMap<ServiceId, KnownStore>,
    saving: BoundedMap<(u64, u64), Instant>,
    /// Endpoints' clock and when it was told.
    clock: Option<(f64, Instant)>,
}

impl Default for KeptParts {
    fn default() -> Self {
        Self { stores: FastMap::default(), saving: BoundedMap::new(REMEMBERED_SAVES), clock: None }
    }
}

impl KeptParts {
    /// Sets the stores; what is known of those that stay is kept.
    pub fn set_stores(&mut self, now: Instant, stores: &[CacheStore]) {
        self.stores.retain(|name, known| {
            stores.iter().any(|store| store.name == *name && store.address == known.store.address)
        });
        for store in stores {
            let new = || KnownStore {
                store: store.clone(),
                position: None,
                read_again_at: None,
                fresh_at: now,
                parts: FastMap::default(),
                used_tokens: 0,
            };
            self.stores.entry(store.name.clone()).or_insert_with(new).store = store.clone();
        }
    }

    /// Number of the last change that a store told; none where its content must be read first.
    pub fn last_event(&self, now: Instant, store: &str) -> Option<u64> {
        let known = self.stores.get(store)?;
        let is_due = known.read_again_at.is_some_and(|at| now >= at);
        known.position.filter(|_| !is_due).map(|(_, last)| last)
    }

    /// Takes all that a store holds.
    pub fn on_content(&mut self, now: Instant, store: &str, content: StoreContent) {
        let Some(known) = self.stores.get_mut(store) else { return };
        known.forget();
        known.position = Some((content.boot, content.last));
        known.read_again_at = None;
        known.fresh_at = now;
        content.parts.into_iter().for_each(|part| known.add(part));
        known.count();
    }

    /// Takes changes of a store.
    ///
    /// A change that was not told can only be a part that is there and could be used, since parts
    /// in use are not freed; the content is read again some time later.
    pub fn on_news(&mut self, now: Instant, store: &str, news: StoreNews) {
        if let Some(clock_ms) = news.clock_ms {
            self.clock = Some((clock_ms, now));
        }
        let Some(known) = self.stores.get_mut(store) else { return };
        let Some((boot, last)) = known.position else { return };
        if news.boot != boot {
            return known.forget();
        }
        let told = news.events.iter().filter(|event| event.number > last).count() as u64;
        if news.is_lost || news.last > last + told {
            known.read_again_at.get_or_insert(now + READ_AGAIN_AFTER);
        }
        let has_changed = !news.events.is_empty();
        for event in news.events {
            match event.is_added {
                true => known.add(event.part),
                false => known.remove(&event.part),
            }
        }
        if has_changed {
            known.count();
        }
        known.position = Some((boot, news.last.max(last)));
        known.fresh_at = now;
    }

    /// Takes note that a store does not answer; what it holds is read again when it does.
    pub fn on_silent(&mut self, store: &str) {
        if let Some(known) = self.stores.get_mut(store) {
            known.forget();
        }
    }

    /// Availability zones of the stores that hold a part.
    pub fn zones<'a>(
        &'a self,
        now: Instant,
        scope: &'a CacheScope,
        part: &'a str,
    ) -> impl Iterator<Item = &'a ZoneId> {
        let fresh = self.stores.values().filter(move |known| known.is_fresh(now));
        fresh.filter(move |known| known.has(scope, part)).map(|known| &known.store.zone)
    }

    /// Decides where the shared parts of a prompt that runs in a zone come from and go to.
    ///
    /// Nothing is fetched before the endpoints' clock is known, by which a fetch is discarded.
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

    /// Parts of a store whose scope is no longer used, to be freed, with the store's boot.
    pub fn outdated(
        &self,
        store: &str,
        is_used: impl Fn(&CacheScope) -> bool,
    ) -> Option<(u64, Vec<StoredPart>)> {
        let known = self.stores.get(store)?;
        let (boot, _) = known.position?;
        let outdated = known.parts.iter().filter(|(scope, _)| !is_used(scope));
        let parts = outdated.flat_map(|(scope, parts)| {
            parts.iter().map(|(part, tokens)| StoredPart {
                scope: scope.clone(),
                part: part.clone(),
                tokens: *tokens,
            })
        });
        let parts: Vec<StoredPart> = parts.collect();
        (!parts.is_empty()).then_some((boot, parts))
    }

    /// Takes note that parts of a store were freed.
    pub fn on_freed(&mut self, store: &str, boot: u64, parts: &[StoredPart]) {
        let known = self.stores.get_mut(store);
        let same = known.filter(|known| known.position.is_some_and(|(known, _)| known == boot));
        if let Some(known) = same {
            parts.iter().for_each(|part| known.remove(part));
            known.count();
        }
    }

    /// Time on the endpoints' clock, in Unix milliseconds, once it was told.
    pub fn clock_ms(&self, at: Instant) -> Option<u64> {
        let (clock_ms, told) = self.clock?;
        let since = at.saturating_duration_since(told);
        Some((clock_ms + since.as_secs_f64() * 1e3) as u64)
    }

    /// Stores with the tokens that they are known to hold, for the dump.
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
        let fresh = self.stores.values().filter(|known| known.is_fresh(now));
        let holders = fresh.filter(|known| known.has(scope, &part.id));
        let nearest = holders.min_by_key(|known| {
            (known.store.zone != *zone, stable_hash(known.store.name.as_bytes()))
        });
        nearest.map(|known| known.store.address)
    }

    /// Store with room in the zone, or else in another; which one is settled by the part.
    fn target(
        &mut self,
        now: Instant,
        scope: &CacheScope,
        part: &PromptPart,
        zone: &ZoneId,
    ) -> Option<SocketAddr> {
        let key = (stable_hash(scope.as_bytes()), stable_hash(part.id.as_bytes()));
        if self.saving.peek(&key).is_some_and(|since| now < *since + SAVING_FOR) {
            return None;
        }
        let roomy = self
            .stores
            .values()
            .filter(|known| known.is_fresh(now) && known.free_tokens() >= part.tokens);
        let best = roomy.max_by(|a, b| {
            let rank = |known: &KnownStore| {
                let is_near = known.store.zone == *zone;
                let share = known.store.capacity_tokens as f64;
                (is_near, weighted_rank(stable_hash(known.store.name.as_bytes()) ^ key.1, share))
            };
            let (a, b) = (rank(a), rank(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })?;
        let (name, address) = (best.store.name.clone(), best.store.address);
        *self.saving.entry(&key, || now) = now;
        if let Some(known) = self.stores.get_mut(&name) {
            known.used_tokens += part.tokens;
        }
        Some(address)
    }
}

impl KnownStore {
    fn forget(&mut self) {
        self.position = None;
        self.read_again_at = None;
        self.parts.clear();
        self.used_tokens = 0;
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.position.is_some() && now < self.fresh_at + FRESH_FOR
    }

    fn has(&self, scope: &str, part: &str) -> bool {
        self.parts.get(scope).is_some_and(|parts| parts.contains_key(part))
    }

    fn free_tokens(&self) -> u64 {
        (self.store.capacity_tokens * FILL_PERCENT / 100).saturating_sub(self.used_tokens)
    }

    fn add(&mut self, part: StoredPart) {
        let of_scope = self.parts.entry(part.scope).or_default();
        of_scope.insert(part.part, part.tokens);
    }

    fn remove(&mut self, part: &StoredPart) {
        if let Some(of_scope) = self.parts.get_mut(&part.scope) {
            of_scope.remove(&part.part);
            if of_scope.is_empty() {
                self.parts.remove(&part.scope);
            }
        }
    }

    /// Counts what is held, after any number of changes; what was counted when a save began is
    /// settled here.
    fn count(&mut self) {
        self.used_tokens = self.parts.values().flat_map(FastMap::values).sum();
    }
}

/// Rank of a place of a given size in the order of a hash; the highest takes it.
fn weighted_rank(hash: u64, size: f64) -> f64 {
    let spread = (stable_hash(&hash.to_le_bytes()) >> 11) as f64 / (1u64 << 53) as f64;
    -size / spread.max(f64::MIN_POSITIVE).ln()
}

use super::{
    CacheStore, ChangeLog, PartChange, RelayCursor, RelayedStore, StoreContent, StoreEvent,
    StoreUpdate, StoredPart,
};
use crate::ids::FastMap;
use std::time::{Duration, Instant};

/// Time after a store's last answer for which its known content is trusted.
///
/// This bounds how long a part that was deleted, or lost in a restart, is still assumed to exist.
const CONTENT_TRUSTED_FOR: Duration = Duration::from_millis(1_600);
/// Delay before a store's content is read in full again after a missed change.
const RELOAD_DELAY: Duration = Duration::from_secs(6);
/// Fill limit of a store, in percent; the rest leaves room for saves started by other daemons.
const FILL_PERCENT: u64 = 96;

/// Content of one cache store, as known to this daemon.
#[derive(Clone, Debug)]
pub struct KnownStore {
    /// Settings of the store.
    pub store: CacheStore,
    /// Process start of the store and sequence number of its last known change; `None` until its
    /// content is known.
    pub position: Option<(u64, u64)>,
    /// Size of each part in tokens, by scope and part identifier.
    pub parts: FastMap<String, FastMap<String, u64>>,
    /// Tokens of all parts, and of saves that were started since the last change.
    pub used_tokens: u64,
    /// When to read the full content again after a missed change.
    reload_at: Option<Instant>,
    last_answer: Instant,
    log: ChangeLog,
    /// Position in the log of the daemon from which the content was learned.
    relay_cursor: Option<RelayCursor>,
}

impl KnownStore {
    /// Creates the state of a store whose content is not known. `seed` is unique to this daemon and
    /// store.
    pub fn new(now: Instant, store: CacheStore, seed: u64) -> Self {
        Self {
            store,
            position: None,
            parts: FastMap::default(),
            used_tokens: 0,
            reload_at: None,
            last_answer: now,
            log: ChangeLog::new(seed),
            relay_cursor: None,
        }
    }

    /// Sequence number of the last known change; `None` if the full content must be read first.
    pub fn last_event(&self, now: Instant) -> Option<u64> {
        let is_due = self.reload_at.is_some_and(|at| now >= at);
        self.position.filter(|_| !is_due).map(|(_, last)| last)
    }

    /// Replaces the content with a full listing.
    pub fn on_content(&mut self, now: Instant, content: StoreContent) {
        self.relay_cursor = None;
        self.replace(content);
        self.last_answer = now;
    }

    /// Applies a change notification of the store.
    pub fn on_update(&mut self, now: Instant, update: StoreUpdate) {
        let Some((boot, last)) = self.position else { return };
        if update.boot != boot {
            return self.invalidate();
        }
        let received = update.events.iter().filter(|event| event.number > last).count() as u64;
        if update.has_gap || update.last > last + received {
            self.reload_at.get_or_insert(now + RELOAD_DELAY);
        }
        let changes = update.events.into_iter().map(StoreEvent::into_change);
        self.apply(changes.collect());
        self.position = Some((boot, update.last.max(last)));
        self.last_answer = now;
        self.relay_cursor = None;
    }

    /// Content for another daemon, as changes since `cursor` if possible; `None` if it is not
    /// trusted here.
    pub fn relay(&self, now: Instant, cursor: Option<RelayCursor>) -> Option<RelayedStore> {
        let (boot, last) = self.position.filter(|_| self.is_trusted(now))?;
        let recent = cursor.and_then(|cursor| self.log.since(cursor));
        Some(RelayedStore {
            store: self.store.name.clone(),
            boot,
            last,
            age: now.saturating_duration_since(self.last_answer),
            clock_ms: None,
            is_whole: recent.is_none(),
            changes: recent.unwrap_or_else(|| self.all_parts()),
            cursor: self.log.cursor(),
        })
    }

    /// Applies what another daemon told, which was asked at `asked_at`. Older content than the
    /// known one is ignored.
    pub fn on_relayed(&mut self, asked_at: Instant, relayed: RelayedStore) {
        let RelayedStore { boot, last, age, is_whole, changes, cursor, .. } = relayed;
        let is_older = self.position.is_some_and(|(b, known)| b == boot && last < known);
        if is_older {
            return;
        }
        match is_whole {
            true => {
                let parts = changes.into_iter().map(|change| change.part).collect();
                self.replace(StoreContent { boot, last, parts });
            }
            false => self.apply(changes),
        }
        self.position = Some((boot, last));
        self.relay_cursor = Some(cursor);
        let answered_at = asked_at.checked_sub(age).unwrap_or(self.last_answer);
        self.last_answer = self.last_answer.max(answered_at);
    }

    /// Position in the log of the daemon from which the content was learned.
    pub fn relay_cursor(&self) -> Option<RelayCursor> {
        self.relay_cursor
    }

    /// Forgets the content, which must then be read again.
    pub fn invalidate(&mut self) {
        self.position = None;
        self.reload_at = None;
        self.relay_cursor = None;
        self.parts.clear();
        self.used_tokens = 0;
        self.log.restart();
    }

    /// Whether the known content is recent enough to use.
    pub fn is_trusted(&self, now: Instant) -> bool {
        self.position.is_some() && now < self.last_answer + CONTENT_TRUSTED_FOR
    }

    /// Whether the store holds a part.
    pub fn has(&self, scope: &str, part: &str) -> bool {
        self.parts.get(scope).is_some_and(|parts| parts.contains_key(part))
    }

    /// Room for further parts, in tokens.
    pub fn free_tokens(&self) -> u64 {
        (self.store.capacity_tokens * FILL_PERCENT / 100).saturating_sub(self.used_tokens)
    }

    /// Records that parts were deleted.
    pub fn on_deleted(&mut self, parts: &[StoredPart]) {
        let removed = |part: &StoredPart| PartChange { is_added: false, part: part.clone() };
        self.apply(parts.iter().map(removed).collect());
    }

    /// Replaces the content. Daemons that follow the log get only the differences, unless the store
    /// has restarted.
    fn replace(&mut self, content: StoreContent) {
        if self.position.is_none_or(|(boot, _)| boot != content.boot) {
            self.invalidate();
        }
        let mut listed: FastMap<&str, FastMap<&str, u64>> = FastMap::default();
        for part in &content.parts {
            listed.entry(&part.scope).or_default().insert(&part.part, part.tokens);
        }
        let is_listed = |change: &PartChange| {
            let of_scope = listed.get(&*change.part.scope);
            of_scope.is_some_and(|parts| parts.contains_key(&*change.part.part))
        };
        let known = self.all_parts().into_iter().filter(|change| !is_listed(change));
        let mut changes: Vec<PartChange> =
            known.map(|change| PartChange { is_added: false, ..change }).collect();
        let added = content.parts.into_iter().map(|part| PartChange { is_added: true, part });
        changes.extend(added);
        self.apply(changes);
        self.position = Some((content.boot, content.last));
        self.reload_at = None;
    }

    fn all_parts(&self) -> Vec<PartChange> {
        let parts = self.parts.iter().flat_map(|(scope, parts)| {
            parts.iter().map(|(part, tokens)| StoredPart {
                scope: scope.clone(),
                part: part.clone(),
                tokens: *tokens,
            })
        });
        parts.map(|part| PartChange { is_added: true, part }).collect()
    }

    fn apply(&mut self, changes: Vec<PartChange>) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let has_changed = match change.is_added {
                true => self.add(&change.part),
                false => self.remove(&change.part),
            };
            if has_changed {
                self.log.push(change);
            }
        }
        // Also corrects the reservations of started saves.
        self.used_tokens = self.parts.values().flat_map(FastMap::values).sum();
    }

    fn add(&mut self, part: &StoredPart) -> bool {
        let of_scope = self.parts.entry(part.scope.clone()).or_default();
        of_scope.insert(part.part.clone(), part.tokens) != Some(part.tokens)
    }

    fn remove(&mut self, part: &StoredPart) -> bool {
        let Some(of_scope) = self.parts.get_mut(&part.scope) else { return false };
        let was_known = of_scope.remove(&part.part).is_some();
        if of_scope.is_empty() {
            self.parts.remove(&part.scope);
        }
        was_known
    }
}

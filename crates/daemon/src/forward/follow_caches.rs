use super::forwarder::Forwarder;
use cassiagw_core::{
    forwarding::{CacheSource, CacheSources, CacheStore, MAX_FETCH, PREVIOUS_WEIGHTS_FETCH_WINDOW},
    ids::{DaemonId, FastMap, FastSet, ServiceId},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    task::{AbortHandle, JoinSet},
    time::{sleep, timeout},
};

/// Long-poll timeout of a request for changes. Together with the pauses here and at a daemon that
/// learns the content from this one, it stays below the time for which content is trusted.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between two requests for changes, so that several changes arrive in one response.
const POLL_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Interval at which unused parts are freed.
const FREE_INTERVAL: Duration = Duration::from_millis(300);
/// Safety margin between the latest possible end of a fetch and the freeing of the parts of its
/// scope.
const FREE_MARGIN: Duration = Duration::from_millis(300);
/// Delay before the parts of an outdated scope are freed if not all daemons are known to have seen
/// the newer weights. A daemon that has lost contact stops fetching by itself earlier than this.
const FREE_DELAY: Duration = Duration::from_secs(7);
/// Validity of a request to free parts. The store rejects it when it arrives later.
const FREE_REQUEST_VALIDITY: Duration = Duration::from_secs(1);
/// Maximum number of parts freed by one request.
const MAX_FREED_PARTS: usize = 512;
/// Maximum interval between checks of the list of stores in the settings.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which other daemons are asked for the content of stores, and at which the stores to
/// follow are selected.
const RELAY_INTERVAL: Duration = Duration::from_millis(200);

/// Tracks the content of every cache store in the settings until the future is dropped: from the
/// store itself or from another daemon.
pub async fn follow_caches(fw: Arc<Forwarder>) {
    let mut followed = FollowedStores::default();
    let mut sources = CacheSources::default();
    let mut pulls = JoinSet::new();
    let mut pulling = FastSet::default();
    let mut changed = fw.changed.subscribe();
    loop {
        while let Some(pulled) = pulls.try_join_next() {
            let Ok(pulled) = pulled else { continue };
            record_pull(&mut sources, &pulled);
            pulling.remove(&pulled.from);
        }
        let now = Instant::now();
        sources.expire(now);
        let (direct, wanted) = select_sources(&fw, &mut sources, now);
        followed.set(&fw, direct);
        for (daemon, stores) in wanted {
            if pulling.insert(daemon.clone()) {
                pulls.spawn(pull_content(fw.clone(), daemon, stores));
            }
        }
        let interval = if pulling.is_empty() { CHECK_INTERVAL } else { RELAY_INTERVAL };
        // A timeout means that there was no change.
        let _ = timeout(interval, changed.changed()).await;
    }
}

/// Stores that this daemon follows itself, each with the task that does so.
#[derive(Default)]
struct FollowedStores(FastMap<ServiceId, (CacheStore, AbortHandle)>);

impl FollowedStores {
    /// Starts and ends tasks, so that exactly these stores are followed.
    fn set(&mut self, fw: &Arc<Forwarder>, stores: Vec<CacheStore>) {
        self.0.retain(|_, (store, task)| {
            let is_followed = stores.contains(store);
            if !is_followed {
                task.abort();
            }
            is_followed
        });
        for store in stores {
            if !self.0.contains_key(&store.name) {
                let task = tokio::spawn(follow_cache_store(fw.clone(), store.clone()));
                self.0.insert(store.name.clone(), (store, task.abort_handle()));
            }
        }
    }
}

/// Stores to follow, and stores whose content to ask of another daemon, by daemon.
type SelectedSources = (Vec<CacheStore>, FastMap<DaemonId, Vec<ServiceId>>);

fn select_sources(fw: &Forwarder, sources: &mut CacheSources, now: Instant) -> SelectedSources {
    let cfg = fw.cfg();
    let state = fw.state();
    let members = state.members.iter().map(|(name, member)| (name, &member.zone));
    sources.set_members((state.name(), &cfg.zone), members);
    let (mut direct, mut wanted) = SelectedSources::default();
    for store in &state.settings.stores {
        match sources.source(now, &store.name) {
            CacheSource::Store => direct.push(store.clone()),
            CacheSource::Daemon(daemon) => {
                wanted.entry(daemon).or_default().push(store.name.clone());
            }
        }
    }
    (direct, wanted)
}

/// Result of asking a daemon for the content of stores.
struct Pulled {
    from: DaemonId,
    /// Stores whose content it does not know; `None` if it did not answer.
    unknown: Option<Vec<ServiceId>>,
}

async fn pull_content(fw: Arc<Forwarder>, from: DaemonId, stores: Vec<ServiceId>) -> Pulled {
    let (address, cursors) = {
        let state = fw.state();
        (state.peer_address(&from), state.cache_index.relay_cursors(&stores))
    };
    let Some(address) = address else { return Pulled { from, unknown: None } };
    let asked_at = Instant::now();
    let relayed = fw.peers.call(address, async |peer, cx| peer.cache_content(cx, cursors).await);
    let Some(relayed) = relayed.await else { return Pulled { from, unknown: None } };
    let known: FastSet<ServiceId> = relayed.iter().map(|store| store.store.clone()).collect();
    let mut state = fw.state();
    for store in relayed {
        state.cache_index.on_relayed(asked_at, Instant::now(), store);
    }
    let unknown = stores.into_iter().filter(|store| !known.contains(store));
    Pulled { from, unknown: Some(unknown.collect()) }
}

fn record_pull(sources: &mut CacheSources, pulled: &Pulled) {
    let now = Instant::now();
    match &pulled.unknown {
        None => sources.on_unreachable(now, pulled.from.clone()),
        Some(stores) => {
            for store in stores {
                sources.on_ignorant(now, pulled.from.clone(), store.clone());
            }
        }
    }
}

async fn follow_cache_store(fw: Arc<Forwarder>, store: CacheStore) {
    let mut free_at = Instant::now();
    let mut unused: UnusedScopes = FastMap::default();
    loop {
        let pause = match read_updates(&fw, &store).await {
            true => POLL_PAUSE,
            false => RETRY_PAUSE,
        };
        if Instant::now() >= free_at && is_responsible_for(&fw, &store) {
            free_at = Instant::now() + FREE_INTERVAL;
            free_unused(&fw, &store, &mut unused).await;
        }
        sleep(pause).await;
    }
}

/// Reads the content of a store or its changes since the last event. Returns false if the request
/// failed.
async fn read_updates(fw: &Forwarder, store: &CacheStore) -> bool {
    let name = &store.name;
    let last_event = fw.state().cache_index.last_event(Instant::now(), name);
    let result = match last_event {
        Some(last_event) => {
            let updates = fw.caches.updates(store.address, last_event, LONG_POLL_TIMEOUT).await;
            updates.map(|updates| match updates {
                Some(updates) => fw.state().cache_index.on_update(Instant::now(), name, updates),
                None => log::debug!(event = "cache_store_busy", store:% = name; ""),
            })
        }
        None => {
            let content = fw.caches.content(store.address).await;
            content.map(|content| {
                let parts = content.parts.len();
                log::info!(event = "cache_store_read", store:% = name, boot = content.boot, parts; "");
                fw.state().cache_index.on_content(Instant::now(), name, content);
            })
        }
    };
    result
        .inspect_err(|error| {
            if last_event.is_some() {
                log::info!(event = "cache_store_silent", store:% = name, error:% = error; "");
            }
            fw.state().cache_index.on_unreachable(name);
        })
        .is_ok()
}

/// Whether this daemon is responsible for freeing parts of a store.
fn is_responsible_for(fw: &Forwarder, store: &CacheStore) -> bool {
    let cfg = fw.cfg();
    let state = fw.state();
    let members = state.members.iter().map(|(name, member)| (name, &member.zone));
    let mut sources = CacheSources::default();
    sources.set_members((state.name(), &cfg.zone), members);
    sources.is_responsible(&store.name)
}

/// Outdated scopes and the time from which their parts may be freed.
type UnusedScopes = FastMap<String, Instant>;

/// Frees the parts of outdated scopes once no daemon can still be fetching them.
async fn free_unused(fw: &Forwarder, store: &CacheStore, unused: &mut UnusedScopes) {
    let now = Instant::now();
    let outdated = {
        let state = fw.state();
        let outdated = state.cache_index.unused_parts(&store.name, |scope| {
            state.is_scope_current(scope) || !state.may_free(scope)
        });
        for part in outdated.iter().flat_map(|(_, parts)| parts) {
            let free_at = unused.entry(part.scope.clone()).or_insert(now + FREE_DELAY);
            if state.all_daemons_know_outdated(&part.scope) {
                *free_at =
                    (now + PREVIOUS_WEIGHTS_FETCH_WINDOW + MAX_FETCH + FREE_MARGIN).min(*free_at);
            }
        }
        outdated
    };
    let Some((boot, mut due)) = outdated else { return unused.clear() };
    // A scope that is used again has its whole time once it is not.
    let scopes: FastSet<&str> = due.iter().map(|part| &*part.scope).collect();
    unused.retain(|scope, _| scopes.contains(&**scope));
    due.retain(|part| unused.get(&part.scope).is_some_and(|free_at| now >= *free_at));
    due.truncate(MAX_FREED_PARTS);
    let until_ms = fw.state().cache_index.clock_ms(now + FREE_REQUEST_VALIDITY);
    let Some(until_ms) = until_ms.filter(|_| !due.is_empty()) else { return };
    let result = fw.caches.free(store.address, boot, until_ms, &due).await;
    if result.is_ok() {
        fw.state().cache_index.on_deleted(&store.name, boot, &due);
    }
    let error = result.err().map(|error| error.to_string());
    let scopes: FastSet<&str> = due.iter().map(|part| &*part.scope).collect();
    let is_known_everywhere =
        scopes.iter().all(|scope| fw.state().all_daemons_know_outdated(scope));
    log::info!(
        event = "cache_parts_freed", store:% = store.name, parts = due.len(), scopes:? = scopes,
        is_known_everywhere, error = error.as_deref().unwrap_or("none"); ""
    );
}

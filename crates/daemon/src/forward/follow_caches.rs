use super::forwarder::Forwarder;
use cassiagw_core::{
    forwarding::{CacheStore, MAX_FETCH, PREVIOUS_WEIGHTS_FETCH_WINDOW},
    ids::{DaemonId, FastMap, ServiceId, stable_hash},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    task::AbortHandle,
    time::{sleep, timeout},
};

/// Long-poll timeout of a request for changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
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

/// Tracks the content of every cache store in the settings until the future is dropped.
pub async fn follow_caches(fw: Arc<Forwarder>) {
    let mut followed: FastMap<ServiceId, (CacheStore, AbortHandle)> = FastMap::default();
    let mut changed = fw.changed.subscribe();
    loop {
        let stores = fw.state().settings.stores.clone();
        followed.retain(|_, (store, task)| {
            let is_configured = stores.contains(store);
            if !is_configured {
                task.abort();
            }
            is_configured
        });
        for store in stores {
            if !followed.contains_key(&store.name) {
                let task = tokio::spawn(follow_cache_store(fw.clone(), store.clone()));
                followed.insert(store.name.clone(), (store, task.abort_handle()));
            }
        }
        // A timeout means that there was no change.
        let _ = timeout(CHECK_INTERVAL, changed.changed()).await;
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
            updates.map(|updates| fw.state().cache_index.on_update(Instant::now(), name, updates))
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

/// Whether this daemon is responsible for freeing parts of a store. Rendezvous hashing: it is the
/// daemon with the lowest hash of store name and daemon name.
fn is_responsible_for(fw: &Forwarder, store: &CacheStore) -> bool {
    let own = fw.cfg().name.clone();
    let rank = |daemon: &DaemonId| stable_hash(format!("{}/{daemon}", store.name).as_bytes());
    let state = fw.state();
    state.members.keys().all(|other| rank(other) > rank(&own))
}

/// Outdated scopes and the time from which their parts may be freed.
type UnusedScopes = FastMap<String, Instant>;

/// Frees the parts of outdated scopes once no daemon can still be fetching them.
async fn free_unused(fw: &Forwarder, store: &CacheStore, unused: &mut UnusedScopes) {
    let now = Instant::now();
    let outdated = {
        let state = fw.state();
        let outdated =
            state.cache_index.unused_parts(&store.name, |scope| state.is_scope_current(scope));
        for part in outdated.iter().flat_map(|(_, parts)| parts) {
            let free_at = unused.entry(part.scope.clone()).or_insert(now + FREE_DELAY);
            if state.all_daemons_know_newest_weights(&part.scope) {
                *free_at =
                    (now + PREVIOUS_WEIGHTS_FETCH_WINDOW + MAX_FETCH + FREE_MARGIN).min(*free_at);
            }
        }
        outdated
    };
    let Some((boot, mut due)) = outdated else { return unused.clear() };
    due.retain(|part| unused.get(&part.scope).is_some_and(|free_at| now >= *free_at));
    due.truncate(MAX_FREED_PARTS);
    let until_ms = fw.state().cache_index.clock_ms(now + FREE_REQUEST_VALIDITY);
    let Some(until_ms) = until_ms.filter(|_| !due.is_empty()) else { return };
    let result = fw.caches.free(store.address, boot, until_ms, &due).await;
    if result.is_ok() {
        fw.state().cache_index.on_deleted(&store.name, boot, &due);
    }
    let error = result.err().map(|error| error.to_string());
    log::info!(
        event = "cache_parts_freed", store:% = store.name, parts = due.len(),
        error = error.as_deref().unwrap_or("none"); ""
    );
}

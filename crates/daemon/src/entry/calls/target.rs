use crate::entry::{EntryContext, dispatch::pick_endpoint};
use cassiagw_core::{
    claims::Attempt,
    ids::{EndpointId, FastSet},
    membership::View,
    routing::RouteRefusal,
};
use cassiagw_rpc::LoadReport;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tarpc::context;
use tokio::time::sleep;

/// Time for an endpoint daemon to tell its boot.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a call waits for room at an endpoint.
const MAX_FULL_WAIT: Duration = Duration::from_secs(5);
/// Warmth of an endpoint that bears its full load.
const FULL_WARMTH_PERMILLE: u16 = 1_000;
/// Wait before full endpoints are asked again.
pub const FULL_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Endpoints that are asked again at a time.
const MAX_ASKED_AGAIN: usize = 4;

/// Chooses an endpoint whose daemon answers now and names an attempt on its current boot; none
/// while no endpoint takes work or this entry has lost contact with the system.
///
/// A claim that named an earlier boot would be refused, and a connection that broke unseen would
/// leave the outcome of the dispatch open; asking first rules out both.
pub async fn choose(
    entry: &EntryContext,
    service: &str,
    excluded: &mut FastSet<EndpointId>,
) -> Option<Attempt> {
    let gives_up = Instant::now() + MAX_FULL_WAIT;
    loop {
        let view = entry.cx.view();
        if !view.is_current {
            return None;
        }
        let (id, endpoint) = match pick_endpoint(&view, &entry.pool, service, excluded) {
            Ok(picked) => picked,
            Err(RouteRefusal::Full) if Instant::now() < gives_up => {
                sleep(FULL_RETRY_DELAY).await;
                if !ask_again(entry, &view, service, excluded).await {
                    return None;
                }
                continue;
            }
            Err(_) => return None,
        };
        match current_load(entry, &id, endpoint.rpc).await {
            Some(load) if is_full(&load) && Instant::now() < gives_up => {
                sleep(FULL_RETRY_DELAY).await;
            }
            Some(load) => {
                let (boot, claimant) = (load.boot, entry.cx.cfg.name.clone());
                return Some(Attempt { id: entry.new_attempt(), endpoint: id, boot, claimant });
            }
            None => {
                excluded.insert(id);
            }
        }
    }
}

/// Reads anew the load of the endpoints of a service that may have room again; false if there are
/// none.
async fn ask_again(
    entry: &EntryContext,
    view: &View,
    service: &str,
    excluded: &FastSet<EndpointId>,
) -> bool {
    let mut is_any = false;
    let open = view.endpoints_of(service).filter(|(id, _)| !excluded.contains(*id));
    for (id, endpoint) in open.take(MAX_ASKED_AGAIN) {
        is_any |= current_load(entry, id, endpoint.rpc).await.is_some();
    }
    is_any
}

/// Address of an endpoint's daemon; none if the endpoint is no longer in the settings.
pub fn address_of(entry: &EntryContext, endpoint: &str) -> Option<SocketAddr> {
    entry.cx.view().tree.endpoints.get(endpoint).map(|endpoint| endpoint.rpc)
}

/// A cold endpoint holds nothing in its queue.
fn is_full(load: &LoadReport) -> bool {
    load.credits == 0 && load.warmth_permille < FULL_WARMTH_PERMILLE
}

async fn current_load(
    entry: &EntryContext,
    endpoint: &EndpointId,
    address: SocketAddr,
) -> Option<LoadReport> {
    // The first try may meet a connection to an earlier boot.
    for _ in 0..2 {
        let client = entry.pool.client(address).await.ok()?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + LOAD_TIMEOUT;
        match client.load(cx).await {
            Ok(load) => {
                entry.pool.record_load(endpoint, load.clone());
                return Some(load);
            }
            Err(_) => entry.pool.discard(address),
        }
    }
    None
}

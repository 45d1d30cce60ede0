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

/// Timeout for reading an endpoint daemon's load report, which contains its boot.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time that a call waits for a usable endpoint with free capacity.
const MAX_ENDPOINT_WAIT: Duration = Duration::from_secs(5);
/// Warmth of an endpoint that is ready for full load.
const FULL_WARMTH_PERMILLE: u16 = 1_000;
/// Delay before an endpoint is chosen again while none is usable or the chosen one is full, and the
/// step by which a call's delay grows with each refusal by a full endpoint.
pub const ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Maximum number of endpoints whose load is read again after each delay.
const MAX_REFRESHED_ENDPOINTS: usize = 4;

/// Chooses an endpoint whose daemon responds and creates an attempt for its current boot; `None` if
/// no endpoint accepts work or this entry's settings are not current.
///
/// Adds endpoints whose daemons do not respond to `excluded`. The load is read before the attempt
/// is claimed for two reasons: an attempt for an earlier boot would be refused, and a connection
/// that broke unnoticed would leave the outcome of the dispatch unknown.
pub async fn choose_attempt(
    entry: &EntryContext,
    service: &str,
    excluded: &mut FastSet<EndpointId>,
) -> Option<Attempt> {
    let wait_deadline = Instant::now() + MAX_ENDPOINT_WAIT;
    loop {
        let view = entry.cx.view();
        if !view.is_current {
            return None;
        }
        let (id, endpoint) = match pick_endpoint(&view, &entry.pool, service, excluded) {
            Ok(picked) => picked,
            Err(RouteRefusal::NoUsableEndpoint) if Instant::now() < wait_deadline => {
                sleep(ENDPOINT_RETRY_DELAY).await;
                if !refresh_loads(entry, &view, service, excluded).await {
                    return None;
                }
                continue;
            }
            Err(_) => return None,
        };
        match current_load(entry, &id, endpoint.rpc).await {
            Some(load) if is_full(&load) && Instant::now() < wait_deadline => {
                sleep(ENDPOINT_RETRY_DELAY).await;
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

/// Reads the load of some endpoints of a service again, as they may be usable by now;
/// false if none of them responds.
async fn refresh_loads(
    entry: &EntryContext,
    view: &View,
    service: &str,
    excluded: &FastSet<EndpointId>,
) -> bool {
    let mut any_responded = false;
    let candidates = view.endpoints_of(service).filter(|(id, _)| !excluded.contains(*id));
    for (id, endpoint) in candidates.take(MAX_REFRESHED_ENDPOINTS) {
        any_responded |= current_load(entry, id, endpoint.rpc).await.is_some();
    }
    any_responded
}

/// RPC address of an endpoint's daemon; `None` if the endpoint was removed from the settings.
pub fn endpoint_address(entry: &EntryContext, endpoint: &str) -> Option<SocketAddr> {
    entry.cx.view().tree.endpoints.get(endpoint).map(|endpoint| endpoint.rpc)
}

/// Returns whether an endpoint that is still warming up has no free slot. A call then waits at the
/// entry rather than in the endpoint's queue, until [`MAX_ENDPOINT_WAIT`] has passed.
fn is_full(load: &LoadReport) -> bool {
    load.credits == 0 && load.warmth_permille < FULL_WARMTH_PERMILLE
}

async fn current_load(
    entry: &EntryContext,
    endpoint: &EndpointId,
    address: SocketAddr,
) -> Option<LoadReport> {
    // The pooled connection of the first try may belong to an earlier boot.
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

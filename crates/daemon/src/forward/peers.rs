use super::{forward_state::StoreLink, forwarder::Forwarder, quarantine::update_quarantine};
use cassiagw_core::{
    forwarding::{
        ChangedKeys, QuarantineReport, RelayCursor, RelayedStore, StorePosition, StreamKey,
        StreamOrigin, WatchPace,
    },
    ids::{FastSet, ServiceId},
};
use cassiagw_rpc::{
    ClientPool, Deployment, EngineUpdate, ForwardPeerRpc, ForwardPeerRpcClient, WorkReceipt,
    WorkReport, accept_loop, connect_forward_peer, server_channel,
};
use futures::StreamExt;
use rand::seq::IndexedRandom;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tarpc::{client::RpcError as RpcFailure, context, server::Channel};
use tokio::{net::TcpListener, time::sleep};

/// Deployment name in the handshake between daemons. The number rises when their messages change, so
/// that daemons of two versions do not misread each other.
const DEPLOYMENT: &str = "cassiagw-forward-8";
/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of peers to which a change is announced. Each announces it further (gossip), so that it
/// reaches all.
const ANNOUNCE_FANOUT: usize = 3;
/// Delay before an announced change is pulled from the peer, in which it normally arrives from the
/// store.
const PULL_DELAY: Duration = Duration::from_millis(120);
/// The same for a daemon that asks the store only once in a while.
const RELAXED_PULL_DELAY: Duration = Duration::from_millis(10);
/// Interval between pulls from peers while the store is unreachable.
const PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between announcements, so that several changes are announced at once.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(60);

/// RPC clients of the other daemons, by address.
#[derive(Default)]
pub struct PeerClients(ClientPool<ForwardPeerRpcClient>);

impl PeerClients {
    /// Calls a peer. Returns `None` if the connection or the call failed.
    pub async fn call<T>(
        &self,
        address: SocketAddr,
        call: impl AsyncFnOnce(&ForwardPeerRpcClient, context::Context) -> Result<T, RpcFailure>,
    ) -> Option<T> {
        let connect = connect_forward_peer(address, Deployment::new(DEPLOYMENT), CONNECT_TIMEOUT);
        let client = self.0.client(address, connect).await;
        let client = client
            .inspect_err(|error| log::debug!(event = "peer_not_reached", error:% = error; ""))
            .ok()?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + CALL_TIMEOUT;
        let answer = call(&client, cx).await;
        answer
            .inspect_err(|error| {
                log::debug!(event = "peer_call_failed", peer:% = address, error:% = error; "");
                self.0.discard(address);
            })
            .ok()
    }
}

/// Pulls changes of the store from a peer and applies them.
async fn pull(fw: &Forwarder, address: SocketAddr) {
    let known = fw.state().view.as_of();
    let pulled = fw.peers.call(address, async |peer, cx| peer.changes_after(cx, known).await);
    if let Some(changes) = pulled.await.filter(|changes| changes.as_of > known) {
        log::info!(
            event = "learned_from_peer", peer:% = address, revision:% = known,
            as_of:% = changes.as_of; ""
        );
        fw.apply_relayed(changes);
    }
}

/// Announces changes to peers, and pulls changes from them while the store is unreachable.
pub async fn exchange_changes(fw: Arc<Forwarder>) {
    tokio::join!(announce_changes(&fw), pull_while_store_is_lost(&fw));
}

async fn announce_changes(fw: &Arc<Forwarder>) {
    let mut changed = fw.changed.subscribe();
    while changed.changed().await.is_ok() {
        let position = *changed.borrow_and_update();
        for address in announce_targets(fw) {
            let fw = fw.clone();
            tokio::spawn(async move {
                let own = fw.cfg().peer;
                fw.peers
                    .call(address, async |peer, cx| peer.announce(cx, position, own).await)
                    .await
            });
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn pull_while_store_is_lost(fw: &Arc<Forwarder>) {
    loop {
        sleep(PULL_INTERVAL).await;
        let is_lost = matches!(fw.state().store_link, StoreLink::Lost(_));
        if let Some(address) = sample_peers(fw, 1).first().filter(|_| is_lost) {
            pull(fw, *address).await;
        }
    }
}

/// Broadcasts the state of engines to all members: before an order is sent, when it is refused, and
/// when the engine runs the new weights.
pub fn broadcast_engine_news(fw: &Arc<Forwarder>, updates: &[EngineUpdate]) {
    let members: Vec<SocketAddr> = fw.state().members.values().map(|member| member.peer).collect();
    for address in members {
        let fw = fw.clone();
        let updates = updates.to_vec();
        tokio::spawn(async move {
            fw.peers.call(address, async |peer, cx| peer.engine_news(cx, updates).await).await
        });
    }
}

/// Random peers and, if this daemon watches the store for its availability zone, those in the zone.
fn announce_targets(fw: &Forwarder) -> FastSet<SocketAddr> {
    let mut targets: FastSet<SocketAddr> = sample_peers(fw, ANNOUNCE_FANOUT).into_iter().collect();
    let state = fw.state();
    if state.watch_pace() == WatchPace::PromptForZone {
        targets.extend(state.zone_members().map(|(_, member)| member.peer));
    }
    targets
}

/// Picks random peers from the members, or from the seeds in the settings file while no member is
/// known.
pub fn sample_peers(fw: &Forwarder, count: usize) -> Vec<SocketAddr> {
    let cfg = fw.cfg();
    let members: Vec<SocketAddr> = fw.state().members.values().map(|member| member.peer).collect();
    let seeds = cfg.seeds.iter().copied().filter(|address| *address != cfg.peer);
    let known = if members.is_empty() { seeds.collect() } else { members };
    known.sample(&mut rand::rng(), count).copied().collect()
}

/// RPC server for other daemons.
#[derive(Clone)]
struct PeerServer(Arc<Forwarder>);

impl ForwardPeerRpc for PeerServer {
    async fn announce(self, _: context::Context, position: StorePosition, from: SocketAddr) {
        tokio::spawn(async move {
            self.0.state().on_known_position(position);
            if self.0.state().view.as_of() < position {
                let pace = self.0.state().watch_pace();
                let is_relaxed = pace == WatchPace::Relaxed;
                sleep(if is_relaxed { RELAXED_PULL_DELAY } else { PULL_DELAY }).await;
            }
            if self.0.state().view.as_of() < position {
                pull(&self.0, from).await;
            }
        });
    }

    async fn changes_after(self, _: context::Context, position: StorePosition) -> ChangedKeys {
        self.0.state().view.changes_after(position)
    }

    async fn work(self, _: context::Context, report: WorkReport) -> WorkReceipt {
        let is_urgent = report.is_urgent;
        let has_news = self.0.state().on_direct_work_report(Instant::now(), report);
        if is_urgent && self.0.state().has_reports_to_relay() {
            self.0.relay_due.notify_one();
        }
        on_reports_applied(&self.0, has_news);
        self.0.state().work_receipt()
    }

    async fn relayed_work(self, _: context::Context, reports: Vec<WorkReport>) -> WorkReceipt {
        let mut has_news = false;
        for report in reports {
            has_news |= self.0.state().on_work_report(Instant::now(), report);
        }
        on_reports_applied(&self.0, has_news);
        self.0.state().work_receipt()
    }

    async fn engine_news(self, _: context::Context, updates: Vec<EngineUpdate>) {
        apply_engine_news(&self.0, &updates);
    }

    async fn cache_content(
        self,
        _: context::Context,
        wanted: Vec<(ServiceId, Option<RelayCursor>)>,
    ) -> Vec<RelayedStore> {
        self.0.state().cache_index.relay(Instant::now(), &wanted)
    }

    async fn quarantine(self, _: context::Context) -> QuarantineReport {
        self.0.state().quarantine.report_to_new(Instant::now())
    }

    async fn streams_placed(self, _: context::Context, origins: Vec<StreamOrigin>) {
        self.0.state().on_told_origins(Instant::now(), origins);
    }

    async fn stream_origin(self, _: context::Context, key: StreamKey) -> Option<StreamOrigin> {
        self.0.state().stream_origin(Instant::now(), key)
    }
}

/// Acts on reports of other daemons. `has_news` tells that this one knows something in turn.
fn on_reports_applied(fw: &Forwarder, has_news: bool) {
    update_quarantine(fw);
    if has_news {
        fw.report_due.notify_one();
    }
    fw.queues.wake();
}

/// Applies the state of engines that the daemon holding the order lease reported.
pub fn apply_engine_news(fw: &Forwarder, updates: &[EngineUpdate]) {
    let now = Instant::now();
    let mut state = fw.state();
    for engine in updates {
        state.endpoints.on_weights(now, &engine.engine, &engine.model, engine.version);
        let is_outdated = state.endpoints.is_outdated(&engine.engine, &engine.model);
        match engine.busy_for.is_zero() {
            true => state.endpoints.end_requested_backoff(now, &engine.engine),
            false if is_outdated => {
                state.endpoints.back_off(&engine.engine, now + engine.busy_for);
            }
            // The engine has finished, as its entry or an answer told before.
            false => {}
        }
    }
}

/// Accepts connections from other daemons until the future is dropped.
pub async fn serve_peers(listener: TcpListener, fw: Arc<Forwarder>) {
    accept_loop(listener, Deployment::new(DEPLOYMENT), move |stream| {
        let server = PeerServer(fw.clone());
        server_channel(stream).execute(server.serve()).for_each_concurrent(None, |reply| reply)
    })
    .await;
}

use super::{
    ControlConfig, ControlHandle,
    actor::{ControlActor, ControlState},
    peer_links::PeerLinks,
    publisher::Publisher,
    service::ServiceCalls,
    shell::{Shell, Watches},
};
use cassiagw_core::{
    ledger::LedgerKeys,
    membership::{Gossip, View},
};
use cassiagw_rpc::Deployment;
use cassiagw_surfaces::{
    hosts::HostsClient,
    http::HttpClient,
    kv::{KvClient, KvLimits, LedgerClient},
};
use ractor::Actor;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// Timeout of calls to the key-value service. It is short enough that in an outage every zone
/// detects the outage and reports it to the others before the last confirmed contact expires.
const SERVICE_TIMEOUT: Duration = Duration::from_millis(750);

/// Spawns the control actor of a daemon and returns its handle.
pub async fn spawn(cfg: &ControlConfig) -> ControlHandle {
    let keys = LedgerKeys::new(format!("{}/settings", cfg.prefix));
    let limits = KvLimits { call_timeout: SERVICE_TIMEOUT, ..KvLimits::default() };
    let kv = KvClient::with_members(&cfg.kv, limits);
    let ledger = LedgerClient::new(kv.clone(), keys);
    let links = Arc::new(PeerLinks::new(Deployment::new(&cfg.prefix)));
    let shell = Shell {
        local_peer: cfg.local_peer.clone(),
        service: ServiceCalls::new(kv, ledger.clone(), &cfg.prefix),
        hosts: cfg.hosts.map(|address| HostsClient::new(HttpClient::default(), address)),
        links: links.clone(),
    };
    let gossip_cfg =
        cfg.gossip.clone().with_bootstrap(cfg.peers.clone()).with_freshness(cfg.freshness);
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    let (until_tx, current_until) = watch::channel(None);
    let (peers_tx, peers) = watch::channel(Arc::default());
    let state = ControlState {
        gossip: Gossip::new(Instant::now(), cfg.local_peer.clone(), gossip_cfg, cfg.seed),
        shell: Arc::new(shell),
        publisher: Publisher { view: view_tx, current_until: until_tx, peers: peers_tx },
        watches: Watches::default(),
    };
    let (actor, _) = Actor::spawn(None, ControlActor, state)
        .await
        .expect("the startup of the control actor is infallible");
    ControlHandle {
        local_peer: cfg.local_peer.clone(),
        ledger,
        links,
        view,
        current_until,
        peers,
        actor,
    }
}

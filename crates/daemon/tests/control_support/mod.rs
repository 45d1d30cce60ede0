//! Control actors of several daemons in one process, each behind TCP proxies that simulate network
//! partitions.

mod tcp_proxy;

pub use self::tcp_proxy::TcpProxy;

use cassiagw_core::{
    membership::{PeerInfo, View},
    settings::{Change, Principal},
};
use cassiagw_rpc::{
    ClaimReply, ClaimRequest, Deployment, PeerRpc, SyncReply, SyncRequest, accept_loop,
    server_channel,
};
use cassiagw_standins::kv;
use cassiagwd::control::{self, ControlConfig, ControlHandle, EditOutcome, EditRequest};
use futures::StreamExt;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tarpc::server::Channel;
use tokio::{net::TcpListener, task::JoinHandle, time::timeout};

/// Timeout for an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(60);

/// The control actor of one daemon with its peer listener.
pub struct Node {
    pub control: ControlHandle,
    pub service_proxy: TcpProxy,
    pub peer_proxy: TcpProxy,
    server: JoinHandle<()>,
}

#[derive(Clone)]
struct SyncServer(ControlHandle);

impl PeerRpc for SyncServer {
    async fn sync(self, _: tarpc::context::Context, req: SyncRequest) -> SyncReply {
        self.0.sync(req).await
    }

    async fn claim(self, _: tarpc::context::Context, _: ClaimRequest) -> ClaimReply {
        ClaimReply { payload: Vec::new() }
    }
}

impl Node {
    /// Starts a daemon; the part of its name before the first `-` is its zone.
    pub async fn start(name: &str, kv: SocketAddr, peers: Vec<SocketAddr>) -> Self {
        Self::start_with(name, kv, peers, |cfg| cfg).await
    }

    /// Like [`Node::start`], with a configuration adjusted by `configure`.
    pub async fn start_with(
        name: &str,
        kv: SocketAddr,
        peers: Vec<SocketAddr>,
        configure: impl FnOnce(ControlConfig) -> ControlConfig,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let listen_address = listener.local_addr().expect("a bound address");
        let peer_proxy = TcpProxy::open(listen_address).await;
        let service_proxy = TcpProxy::open(kv).await;
        let local_peer = PeerInfo {
            daemon: name.into(),
            boot: rand::random(),
            zone: name.split('-').next().expect("a zone").into(),
            address: peer_proxy.address,
            is_entry: true,
        };
        let cfg = ControlConfig::new(local_peer, vec![service_proxy.address]).with_peers(peers);
        let control = control::spawn(&configure(cfg)).await;
        let server = SyncServer(control.clone());
        let server = tokio::spawn(accept_loop(
            listener,
            Deployment::new(ControlConfig::PREFIX),
            move |stream| {
                server_channel(stream)
                    .execute(server.clone().serve())
                    .for_each_concurrent(None, |r| r)
            },
        ));
        Self { control, service_proxy, peer_proxy, server }
    }

    /// Address where peers reach the daemon, through its proxy.
    pub fn address(&self) -> SocketAddr {
        self.peer_proxy.address
    }

    /// Closes the daemon's proxies: its connections to the key-value service and its peers'
    /// connections to it.
    pub fn isolate(&self) {
        self.service_proxy.close();
        self.peer_proxy.close();
    }

    /// Stops the daemon without cleanup, as if its process had crashed.
    pub fn kill(self) {
        self.control.stop();
        self.server.abort();
    }

    /// Waits until the daemon's view satisfies a condition.
    pub async fn wait_until(&self, what: &str, holds: impl Fn(&View) -> bool) {
        let wait = async {
            while !holds(&self.control.view()) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let address = self.address();
        timeout(STATE_TIMEOUT, wait)
            .await
            .unwrap_or_else(|_| panic!("{address}: timed out waiting for {what}"));
    }

    /// Writes settings as an operator.
    pub async fn edit(&self, changes: &[Change]) -> EditOutcome {
        self.edit_from(None, changes).await
    }

    pub async fn edit_from(&self, base: Option<u64>, changes: &[Change]) -> EditOutcome {
        let changes = changes.to_vec();
        self.control.edit(EditRequest { by: Principal::Operator, base, changes }).await
    }
}

/// Settings value of a zone in the given state.
pub fn zone(state: &str) -> Value {
    json!({ "region": "r1", "state": state })
}

/// Change that sets the state of a zone.
pub fn set_zone(name: &str, state: &str) -> Change {
    Change::new(format!("zones/{name}"), zone(state))
}

/// Starts a key-value service and `count` daemons in two zones.
pub async fn fleet(count: usize) -> (kv::Handle, Vec<Node>) {
    let kv = kv::spawn(kv::Config::default()).await;
    let nodes = start_all(count, kv.address, |cfg| cfg).await;
    (kv, nodes)
}

/// Like [`fleet`], but daemons connect to the service directly, because a proxy accepts connections
/// and would hide that the service refuses them.
pub async fn fleet_without_service_proxies(count: usize) -> (kv::Handle, Vec<Node>) {
    let kv = kv::spawn(kv::Config::default()).await;
    let address = kv.address;
    let nodes = start_all(count, address, |cfg| ControlConfig { kv: vec![address], ..cfg }).await;
    (kv, nodes)
}

async fn start_all(
    count: usize,
    kv: SocketAddr,
    configure: impl Fn(ControlConfig) -> ControlConfig,
) -> Vec<Node> {
    let mut nodes: Vec<Node> = Vec::new();
    for i in 0..count {
        let peers = nodes.first().map(Node::address).into_iter().collect();
        nodes.push(Node::start_with(&format!("z{}-{i}", i % 2), kv, peers, &configure).await);
    }
    for node in &nodes {
        node.wait_until("a current view", |view| view.is_current).await;
        let all = async {
            while node.control.peers().len() < count {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(STATE_TIMEOUT, all).await.expect("every daemon is listed");
    }
    nodes
}

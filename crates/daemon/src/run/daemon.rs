use super::{Addresses, RunError};
use crate::{
    admin::{self, Dump},
    caller_memory::CallerMemory,
    claims::{Claims, ClaimsConfig},
    config::{Config, Role},
    context::Context,
    control::{self, ControlConfig},
    endpoint::{EndpointServer, orders::OrderTask},
    entry::{self, EntryContext},
    peer::PeerServer,
};
use cassiagw_core::{orders::OrderConfig, settings::EndpointKind};
use cassiagw_rpc::{Deployment, EndpointRpc, PeerInfo, PeerRpc, accept_loop, server_channel};
use futures::StreamExt;
use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};
use tarpc::server::Channel;
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Fraction of the host's memory, as a divisor, for what an entry holds for callers.
const HELD_MEMORY_DIVISOR: usize = 2;

/// Polling interval while running requests are drained.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time allowed for revoking the daemon's leases at shutdown.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A started daemon with bound listeners.
pub struct Daemon {
    cx: Arc<Context>,
    http: Option<TcpListener>,
    rpc: Option<TcpListener>,
    peer: TcpListener,
    admin: TcpListener,
    /// Bound listen addresses, with the ports that the operating system assigned.
    pub addresses: Addresses,
}

impl Daemon {
    /// Binds the listeners of a daemon and spawns its control actor.
    ///
    /// # Errors
    /// A listener cannot be bound; the error names the setting.
    pub async fn start(mut cfg: Config) -> Result<Self, RunError> {
        let listen = &cfg.listen;
        let (peer, peer_address) = bind("listen.peer", listen.peer).await?;
        let (admin, admin_address) = bind("listen.admin", listen.admin).await?;
        let http = bind_optional("listen.http", listen.http).await?;
        let rpc = bind_optional("listen.rpc", listen.rpc).await?;
        let addresses = Addresses {
            http: http.as_ref().map(|(_, address)| *address),
            rpc: rpc.as_ref().map(|(_, address)| *address),
            peer: peer_address,
            admin: admin_address,
        };
        cfg.listen.peer = peer_address;
        let boot = rand::random();
        let local_peer = PeerInfo {
            daemon: cfg.name.clone(),
            boot,
            zone: cfg.zone.clone(),
            address: peer_address,
            is_entry: cfg.role == Role::Entry,
        };
        let control = control::spawn(&control_config(&cfg, local_peer)).await;
        let cx = Arc::new(Context::new(cfg, boot, control));
        Ok(Self {
            cx,
            http: http.map(|(listener, _)| listener),
            rpc: rpc.map(|(listener, _)| listener),
            peer,
            admin,
            addresses,
        })
    }

    /// Returns the context shared by the daemon's components, for example to watch settings.
    pub fn context(&self) -> Arc<Context> {
        self.cx.clone()
    }

    /// Serves until `stop` completes, then accepts no new work, drains running requests and revokes
    /// the daemon's leases.
    pub async fn run(self, stop: impl Future<Output = ()> + Send + 'static) {
        let cx = self.cx;
        let mut background = JoinSet::new();
        let claims = spawn_claims(&cx);
        background.spawn(serve_peers(self.peer, cx.clone(), claims.clone()));
        let endpoint = match &cx.cfg.role {
            Role::Endpoint(cfg) => Some(EndpointServer::new(cx.clone(), cfg.clone())),
            Role::Entry => None,
        };
        let orders = order_task(&cx);
        let memory_bytes = usize::try_from(cx.cfg.limits.memory_bytes).unwrap_or(usize::MAX);
        let memory = Arc::new(CallerMemory::new(memory_bytes / HELD_MEMORY_DIVISOR));
        let dump = Dump {
            cx: cx.clone(),
            memory: claims.is_some().then(|| memory.clone()),
            endpoint: endpoint.clone(),
            claims: claims.clone(),
            orders: orders.as_ref().map(OrderTask::subscribe_dump),
        };
        background.spawn(admin::serve(self.admin, dump));
        if let Some(orders) = orders {
            background.spawn(orders.run());
        }
        if let (Some(listener), Some(endpoint)) = (self.rpc, endpoint.clone()) {
            background.spawn(serve_endpoint(listener, cx.clone(), endpoint));
        }
        let shutdown = drain_after(stop, cx.clone());
        match (self.http, claims) {
            (Some(listener), Some(claims)) => {
                let entry = Arc::new(EntryContext::new(cx.clone(), claims.clone(), memory.clone()));
                tokio::join!(shutdown, entry::serve(listener, entry));
                claims.flush(cx.cfg.limits.drain_timeout).await;
            }
            _ => shutdown.await,
        }
        if let Some(endpoint) = endpoint {
            wait_until_idle(&endpoint, cx.cfg.limits.drain_timeout).await;
        }
        if timeout(LEAVE_TIMEOUT, cx.control.leave()).await.is_err() {
            log::warn!(event = "leases_left", daemon:% = cx.cfg.name; "not revoked, will expire");
        }
        log::info!(event = "stopped", daemon:% = cx.cfg.name; "");
    }
}

/// Serves the peer protocol until the future is dropped.
async fn serve_peers(listener: TcpListener, cx: Arc<Context>, claims: Option<Claims>) {
    let deployment = Deployment::new(&cx.cfg.prefix());
    let peer = PeerServer::new(cx).with_claims(claims);
    accept_loop(listener, deployment, move |stream| {
        server_channel(stream).execute(peer.clone().serve()).for_each_concurrent(None, |r| r)
    })
    .await;
}

/// Serves the endpoint RPC protocol, removes expired state and monitors the endpoint until the
/// future is dropped.
async fn serve_endpoint(listener: TcpListener, cx: Arc<Context>, endpoint: EndpointServer) {
    let deployment = Deployment::new(&cx.cfg.prefix());
    let server = endpoint.clone();
    let accept = accept_loop(listener, deployment, move |stream| {
        server_channel(stream).execute(server.clone().serve()).for_each_concurrent(None, |r| r)
    });
    tokio::join!(accept, endpoint.sweep(), endpoint.watch());
}

/// Waits for the shutdown request and marks the daemon as draining.
async fn drain_after(stop: impl Future<Output = ()>, cx: Arc<Context>) {
    stop.await;
    log::info!(event = "draining", daemon:% = cx.cfg.name; "");
    cx.draining.send_replace(true);
}

/// Makes the task that sends orders to the engine; `None` if the daemon has no engine.
fn order_task(cx: &Arc<Context>) -> Option<OrderTask> {
    match &cx.cfg.role {
        Role::Endpoint(cfg) if cfg.kind == EndpointKind::Engine => {
            Some(OrderTask::new(cx.clone(), cfg.clone(), OrderConfig::default()))
        }
        _ => None,
    }
}

/// Spawns the claims of an entry; `None` on endpoint daemons.
fn spawn_claims(cx: &Context) -> Option<Claims> {
    let cfg = ClaimsConfig::new(cx.cfg.name.clone(), cx.cfg.platform.kv.clone())
        .with_prefix(cx.cfg.prefix());
    (cx.cfg.role == Role::Entry).then(|| Claims::spawn(&cfg, &cx.control))
}

async fn wait_until_idle(endpoint: &EndpointServer, limit: Duration) {
    let deadline = Instant::now() + limit;
    while !endpoint.is_idle() && Instant::now() < deadline {
        sleep(DRAIN_POLL).await;
    }
}

fn control_config(cfg: &Config, local_peer: PeerInfo) -> ControlConfig {
    let control = ControlConfig::new(local_peer, cfg.platform.kv.clone())
        .with_prefix(cfg.prefix())
        .with_peers(cfg.peers.clone());
    match cfg.platform.hosts {
        Some(hosts) => control.with_hosts(hosts),
        None => control,
    }
}

/// Binds a listener and returns it with its address, which holds the assigned port.
///
/// # Errors
/// The address cannot be bound; the error names the setting.
pub async fn bind(
    setting: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), RunError> {
    let failed = |source| RunError::Listen { setting, address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

async fn bind_optional(
    setting: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<(TcpListener, SocketAddr)>, RunError> {
    match address {
        Some(address) => bind(setting, address).await.map(Some),
        None => Ok(None),
    }
}

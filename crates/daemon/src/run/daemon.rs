use super::{Addresses, RunError};
use crate::{
    admin::{self, Dump},
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

/// Time between two looks whether the running requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Longest time for giving back the leases of a daemon that stops.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A daemon whose listeners are open.
pub struct Daemon {
    cx: Arc<Context>,
    http: Option<TcpListener>,
    rpc: Option<TcpListener>,
    peer: TcpListener,
    admin: TcpListener,
    /// Addresses that it listens on, with the ports that the system chose.
    pub addresses: Addresses,
}

impl Daemon {
    /// Opens the listeners of a daemon and starts its control part.
    ///
    /// # Errors
    /// An address cannot be listened on; the error names the setting.
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
        let me = PeerInfo {
            daemon: cfg.name.clone(),
            boot,
            zone: cfg.zone.clone(),
            address: peer_address,
            is_entry: cfg.role == Role::Entry,
        };
        let control = control::spawn(&control_config(&cfg, me)).await;
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

    /// The daemon's context, such as to watch its settings.
    pub fn context(&self) -> Arc<Context> {
        self.cx.clone()
    }

    /// Serves until `stop` ends, then takes no new work and lets the running requests end.
    pub async fn run(self, stop: impl Future<Output = ()> + Send + 'static) {
        let cx = self.cx;
        let mut background = JoinSet::new();
        let claims = claims(&cx);
        background.spawn(serve_peers(self.peer, cx.clone(), claims.clone()));
        let endpoint = match &cx.cfg.role {
            Role::Endpoint(cfg) => Some(EndpointServer::new(cx.clone(), cfg.clone())),
            Role::Entry => None,
        };
        let orders = orders(&cx);
        let dump = Dump {
            cx: cx.clone(),
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
        let stopper = drain_after(stop, cx.clone());
        match (self.http, claims) {
            (Some(listener), Some(claims)) => {
                let entry = Arc::new(EntryContext::new(cx.clone(), claims.clone()));
                tokio::join!(stopper, entry::serve(listener, entry));
                claims.flush(cx.cfg.limits.drain_timeout).await;
            }
            _ => stopper.await,
        }
        if let Some(endpoint) = endpoint {
            drain(&endpoint, cx.cfg.limits.drain_timeout).await;
        }
        if timeout(LEAVE_TIMEOUT, cx.control.leave()).await.is_err() {
            log::warn!(event = "leases_left", daemon:% = cx.cfg.name; "they run out by themselves");
        }
        log::info!(event = "stopped", daemon:% = cx.cfg.name; "");
    }
}

/// Serves other daemons until the future is dropped.
async fn serve_peers(listener: TcpListener, cx: Arc<Context>, claims: Option<Claims>) {
    let deployment = Deployment::new(&cx.cfg.prefix());
    let peer = PeerServer::new(cx).with_claims(claims);
    accept_loop(listener, deployment, move |stream| {
        server_channel(stream).execute(peer.clone().serve()).for_each_concurrent(None, |r| r)
    })
    .await;
}

/// Serves entries and looks after the endpoint until the future is dropped.
async fn serve_endpoint(listener: TcpListener, cx: Arc<Context>, endpoint: EndpointServer) {
    let deployment = Deployment::new(&cx.cfg.prefix());
    let server = endpoint.clone();
    let accept = accept_loop(listener, deployment, move |stream| {
        server_channel(stream).execute(server.clone().serve()).for_each_concurrent(None, |r| r)
    });
    tokio::join!(accept, endpoint.sweep(), endpoint.watch());
}

/// Waits until the daemon is asked to stop and marks it as draining.
async fn drain_after(stop: impl Future<Output = ()>, cx: Arc<Context>) {
    stop.await;
    log::info!(event = "draining", daemon:% = cx.cfg.name; "");
    cx.draining.send_replace(true);
}

/// Makes the writer of orders to an engine.
fn orders(cx: &Arc<Context>) -> Option<OrderTask> {
    match &cx.cfg.role {
        Role::Endpoint(cfg) if cfg.kind == EndpointKind::Engine => {
            Some(OrderTask::new(cx.clone(), cfg.clone(), OrderConfig::default()))
        }
        _ => None,
    }
}

/// Starts the claims of an entry.
fn claims(cx: &Context) -> Option<Claims> {
    let cfg = ClaimsConfig::new(cx.cfg.name.clone(), cx.cfg.platform.kv.clone())
        .with_prefix(cx.cfg.prefix());
    (cx.cfg.role == Role::Entry).then(|| Claims::spawn(&cfg, &cx.control))
}

async fn drain(endpoint: &EndpointServer, limit: Duration) {
    let deadline = Instant::now() + limit;
    while !endpoint.is_idle() && Instant::now() < deadline {
        sleep(DRAIN_POLL).await;
    }
}

fn control_config(cfg: &Config, me: PeerInfo) -> ControlConfig {
    let control = ControlConfig::new(me, cfg.platform.kv.clone())
        .with_prefix(cfg.prefix())
        .with_peers(cfg.peers.clone());
    match cfg.platform.hosts {
        Some(hosts) => control.with_hosts(hosts),
        None => control,
    }
}

/// Listens on an address and gives it with the port that the system chose.
///
/// # Errors
/// The error names the setting.
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

use super::shell::PEER_LIMIT;
use cassiagw_core::ids::FastMap;
use cassiagw_rpc::{Deployment, PeerRpcClient, SyncReply, SyncRequest, connect_peer};
use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};
use tarpc::context;

/// Connections that are kept open.
const MAX_LINKS: usize = 32;
/// Longest time to connect to a peer.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Connections to peers, kept open while they work.
#[derive(Debug)]
pub struct PeerLinks {
    deployment: Deployment,
    links: Mutex<FastMap<SocketAddr, PeerRpcClient>>,
}

impl PeerLinks {
    /// Makes links to peers of a deployment; none is open yet.
    pub fn new(deployment: Deployment) -> Self {
        Self { deployment, links: Mutex::default() }
    }

    /// Asks a peer for news.
    pub async fn sync(&self, to: SocketAddr, req: SyncRequest) -> Option<SyncReply> {
        let client = self.client(to).await?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + PEER_LIMIT;
        match client.sync(cx, req).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::debug!(event = "peer_silent", address:% = to, error:% = error; "");
                self.with(|links| links.remove(&to));
                None
            }
        }
    }

    async fn client(&self, to: SocketAddr) -> Option<PeerRpcClient> {
        if let Some(client) = self.with(|links| links.get(&to).cloned()) {
            return Some(client);
        }
        let client = connect_peer(to, self.deployment, CONNECT_LIMIT).await.ok()?;
        self.with(|links| {
            let surplus = links.keys().find(|_| links.len() >= MAX_LINKS).copied();
            surplus.and_then(|address| links.remove(&address));
            links.insert(to, client.clone());
        });
        Some(client)
    }

    fn with<T>(&self, change: impl FnOnce(&mut FastMap<SocketAddr, PeerRpcClient>) -> T) -> T {
        change(&mut self.links.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

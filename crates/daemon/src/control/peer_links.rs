use super::shell::PEER_LIMIT;
use cassiagw_rpc::{ClientPool, Deployment, PeerRpcClient, SyncReply, SyncRequest, connect_peer};
use std::{
    net::SocketAddr,
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
    clients: ClientPool<PeerRpcClient>,
}

impl PeerLinks {
    /// Makes links to peers of a deployment; none is open yet.
    pub fn new(deployment: Deployment) -> Self {
        Self { deployment, clients: ClientPool::default().with_most(MAX_LINKS) }
    }

    /// Asks a peer for news.
    pub async fn sync(&self, to: SocketAddr, req: SyncRequest) -> Option<SyncReply> {
        let connect = connect_peer(to, self.deployment, CONNECT_LIMIT);
        let client = self.clients.client(to, connect).await.ok()?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + PEER_LIMIT;
        match client.sync(cx, req).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::debug!(event = "peer_silent", address:% = to, error:% = error; "");
                self.clients.discard(to);
                None
            }
        }
    }
}

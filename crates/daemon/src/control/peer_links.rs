use super::shell::PEER_CALL_TIMEOUT;
use cassiagw_rpc::{ClientPool, Deployment, PeerRpcClient, SyncReply, SyncRequest, connect_peer};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tarpc::context;

/// Maximum number of pooled connections.
const MAX_CONNECTIONS: usize = 32;
/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pool of connections to peers; a connection is dropped after a failed call.
#[derive(Debug)]
pub struct PeerLinks {
    deployment: Deployment,
    clients: ClientPool<PeerRpcClient>,
}

impl PeerLinks {
    /// Makes an empty pool for the peers of a deployment; connections are opened on use.
    pub fn new(deployment: Deployment) -> Self {
        Self { deployment, clients: ClientPool::default().with_max_clients(MAX_CONNECTIONS) }
    }

    /// Sends an anti-entropy request to a peer; `None` if it cannot be reached or the call fails.
    pub async fn sync(&self, to: SocketAddr, req: SyncRequest) -> Option<SyncReply> {
        let connect = connect_peer(to, self.deployment, CONNECT_TIMEOUT);
        let client = self.clients.client(to, connect).await.ok()?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + PEER_CALL_TIMEOUT;
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

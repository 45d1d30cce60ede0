use cassiagw_rpc::{ClaimReply, ClaimRequest, ClientPool, Deployment, PeerRpcClient, connect_peer};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tarpc::context;

/// Timeout for connecting to a shard's owner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for the owner's reply, which may wait for an append.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections to other entries, opened on demand.
#[derive(Debug)]
pub(super) struct PeerPool {
    deployment: Deployment,
    clients: ClientPool<PeerRpcClient>,
}

impl PeerPool {
    /// Creates a pool without open connections.
    pub fn new(deployment: Deployment) -> Self {
        Self { deployment, clients: ClientPool::default() }
    }

    /// Calls the owner of a shard; `None` if it did not reply, in which case the record may still
    /// be appended.
    pub async fn claim(&self, address: SocketAddr, req: ClaimRequest) -> Option<ClaimReply> {
        let connect = connect_peer(address, self.deployment, CONNECT_TIMEOUT);
        let client = self.clients.client(address, connect).await.ok()?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + REPLY_TIMEOUT;
        let reply = client.claim(cx, req).await;
        reply
            .inspect_err(|error| {
                log::warn!(event = "claim_owner_lost", address:% = address, error:% = error; "");
                self.clients.discard(address);
            })
            .ok()
    }
}

use cassiagw_rpc::{ClaimReply, ClaimRequest, ClientPool, Deployment, PeerRpcClient, connect_peer};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tarpc::context;

/// Time for a connection to a shard's owner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the owner's reply, which waits for an append.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections to other entries.
#[derive(Debug)]
pub(super) struct PeerPool {
    deployment: Deployment,
    clients: ClientPool<PeerRpcClient>,
}

impl PeerPool {
    /// Makes a pool of connections within a deployment; none is open yet.
    pub fn new(deployment: Deployment) -> Self {
        Self { deployment, clients: ClientPool::default() }
    }

    /// Asks the owner of a shard; `None` if it gave no reply, after which the record may still
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

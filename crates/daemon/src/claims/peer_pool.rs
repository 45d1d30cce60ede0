use cassiagw_core::ids::FastMap;
use cassiagw_rpc::{ClaimReply, ClaimRequest, Deployment, PeerRpcClient, connect_peer};
use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
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
    clients: Mutex<FastMap<SocketAddr, PeerRpcClient>>,
}

impl PeerPool {
    /// Makes a pool of connections within a deployment; none is open yet.
    pub fn new(deployment: Deployment) -> Self {
        Self { deployment, clients: Mutex::default() }
    }

    /// Asks the owner of a shard; `None` if it gave no reply, after which the record may still
    /// be appended.
    pub async fn claim(&self, address: SocketAddr, req: ClaimRequest) -> Option<ClaimReply> {
        let client = self.client(address).await?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + REPLY_TIMEOUT;
        let reply = client.claim(cx, req).await;
        reply
            .inspect_err(|error| {
                log::warn!(event = "claim_owner_lost", address:% = address, error:% = error; "");
                self.lock().remove(&address);
            })
            .ok()
    }

    async fn client(&self, address: SocketAddr) -> Option<PeerRpcClient> {
        if let Some(client) = self.lock().get(&address) {
            return Some(client.clone());
        }
        let client = connect_peer(address, self.deployment, CONNECT_TIMEOUT).await.ok()?;
        self.lock().insert(address, client.clone());
        Some(client)
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, PeerRpcClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

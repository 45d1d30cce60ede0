use crate::context::Context;
use cassiagw_rpc::{ClaimReply, ClaimRequest, PeerRpc, SyncReply, SyncRequest};
use std::sync::Arc;
use tarpc::context::Context as RpcContext;

/// Server of the peer protocol of one daemon; clones share their state.
#[derive(Clone)]
pub struct PeerServer {
    cx: Arc<Context>,
}

impl PeerServer {
    /// Makes the server of a daemon.
    pub fn new(cx: Arc<Context>) -> Self {
        Self { cx }
    }
}

impl PeerRpc for PeerServer {
    async fn sync(self, _: RpcContext, req: SyncRequest) -> SyncReply {
        self.cx.control.sync(req).await
    }

    async fn claim(self, _: RpcContext, _req: ClaimRequest) -> ClaimReply {
        ClaimReply { payload: Vec::new() }
    }
}

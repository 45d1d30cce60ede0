use crate::{claims::Claims, context::Context};
use cassiagw_rpc::{ClaimReply, ClaimRequest, PeerRpc, SyncReply, SyncRequest};
use std::sync::Arc;
use tarpc::context::Context as RpcContext;

/// RPC server for the other daemons; clones share one state.
#[derive(Clone)]
pub struct PeerServer {
    cx: Arc<Context>,
    claims: Option<Claims>,
}

impl PeerServer {
    /// Makes a server that handles settings and membership sync only.
    pub fn new(cx: Arc<Context>) -> Self {
        Self { cx, claims: None }
    }

    /// Handles claim requests of other entries with `claims`; `None` gives them empty replies.
    pub fn with_claims(self, claims: Option<Claims>) -> Self {
        Self { claims, ..self }
    }
}

impl PeerRpc for PeerServer {
    async fn sync(self, _: RpcContext, req: SyncRequest) -> SyncReply {
        self.cx.control.sync(req).await
    }

    async fn claim(self, _: RpcContext, req: ClaimRequest) -> ClaimReply {
        match self.claims {
            Some(claims) => claims.serve(req).await,
            None => ClaimReply { payload: Vec::new() },
        }
    }
}

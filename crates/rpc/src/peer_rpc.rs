use cassiagw_core::{ids::Revision, membership::PeerInfo};
use serde::{Deserialize, Serialize};

/// RPC service between daemons: anti-entropy exchange of settings and membership, and claim
/// operations sent to a shard's owner.
#[tarpc::service]
pub trait PeerRpc {
    /// Sends the caller's revision and membership and returns the updates that it lacks.
    async fn sync(req: SyncRequest) -> SyncReply;
    /// Runs a claim operation at the owner of its shard.
    async fn claim(req: ClaimRequest) -> ClaimReply;
}

/// Anti-entropy request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Daemon that sends the request.
    pub from: PeerInfo,
    /// Settings revision of the requesting daemon.
    pub revision: Revision,
    /// Versioned payload, encoded by the membership and settings code and opaque here.
    pub payload: Vec<u8>,
}

/// Anti-entropy reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// Daemon that sends the reply.
    pub from: PeerInfo,
    /// Settings revision of the replying daemon.
    pub revision: Revision,
    /// Versioned payload, encoded by the membership and settings code and opaque here.
    pub payload: Vec<u8>,
}

/// A claim operation for a shard that the receiver owns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Shard that the operation concerns.
    pub shard: u32,
    /// Versioned payload, encoded by the claims code and opaque here.
    pub payload: Vec<u8>,
}

/// Reply to a claim operation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Versioned payload, encoded by the claims code and opaque here.
    pub payload: Vec<u8>,
}

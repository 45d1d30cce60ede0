use cassiagw_core::{ids::Revision, membership::PeerInfo};
use serde::{Deserialize, Serialize};

/// Requests between daemons: spread of settings and membership, and claims to a shard's owner.
#[tarpc::service]
pub trait PeerRpc {
    /// Tells the sender's revision and membership and gets what the sender lacks.
    async fn sync(req: SyncRequest) -> SyncReply;
    /// Hands a claim operation to the owner of its shard.
    async fn claim(req: ClaimRequest) -> ClaimReply;
}

/// Anti-entropy request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Who asks.
    pub from: PeerInfo,
    /// Settings revision of the sender.
    pub revision: Revision,
    /// Opaque, versioned payload of the membership and settings code.
    pub payload: Vec<u8>,
}

/// Anti-entropy reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// Who answers.
    pub from: PeerInfo,
    /// Settings revision of the answering side.
    pub revision: Revision,
    /// Opaque, versioned payload of the membership and settings code.
    pub payload: Vec<u8>,
}

/// A claim operation for a shard that the receiver owns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Shard number.
    pub shard: u32,
    /// Opaque, versioned payload of the claims code.
    pub payload: Vec<u8>,
}

/// Reply to a claim operation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Opaque, versioned payload of the claims code.
    pub payload: Vec<u8>,
}

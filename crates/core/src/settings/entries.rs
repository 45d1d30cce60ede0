use crate::ids::{AdapterId, HostId, ModelId, RegionId, VersionId, WorkspaceId, ZoneId};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, hex::Hex, serde_as};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

/// blake3 hash of a bearer token; the token itself is never kept.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenHash(#[serde_as(as = "Hex")] pub [u8; 32]);

impl TokenHash {
    /// Hashes a bearer token.
    pub fn of(token: &str) -> Self {
        Self(*blake3::hash(token.as_bytes()).as_bytes())
    }
}

/// `zones/<zone>`: an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneEntry {
    /// Region that the zone lies in.
    pub region: RegionId,
    /// Whether the zone takes new work.
    pub state: ZoneState,
}

/// Whether an availability zone takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// In service.
    In,
    /// Taken out by operators: no new work.
    Out,
}

/// `models/<model>`: a model, or a plain service that requests name like one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// What kind of endpoint serves it.
    pub kind: EndpointKind,
    /// Weight versions that exist; empty for a plain service.
    #[serde(default)]
    pub versions: BTreeSet<VersionId>,
    /// Adapters that exist; empty for a plain service.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterId>,
    /// Version served where a team names none.
    #[serde(default)]
    pub default_version: Option<VersionId>,
    /// Tokens in one piece of the engine's cache.
    #[serde(default = "default_piece_tokens")]
    pub piece_tokens: u32,
}

fn default_piece_tokens() -> u32 {
    1_000
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine: its requests may be repeated.
    Engine,
    /// A plain service: its requests run at most once.
    Service,
}

/// `endpoints/<endpoint>`: one engine replica or plain service and the daemon before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// Host that the endpoint and its daemon run on.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Model or plain service that it serves.
    pub model: ModelId,
    /// Address of the endpoint daemon's request protocol.
    pub rpc: SocketAddr,
    /// Whether the endpoint refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// `stores/<store>`: a store host for kept cache blocks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreEntry {
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
}

/// `workspaces/<workspace>`: the unit of isolation and of fair shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceEntry {
    /// Share of endpoint time relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// `access/<team>`: what operators let a team use; the team cannot change it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// Workspace that the team's requests run in.
    pub workspace: WorkspaceId,
    /// Token that reads and writes `teams/<team>/` and nothing else.
    pub token: TokenHash,
    /// Models and plain services the team may use.
    pub models: BTreeSet<ModelId>,
    /// Adapters the team may use.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterId>,
    /// Weight versions the team may use; empty allows each model's default only.
    #[serde(default)]
    pub versions: BTreeSet<VersionId>,
}

/// `teams/<team>/callers/<name>`: a token for the team's callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerToken {
    /// Hash of the bearer token.
    pub token: TokenHash,
    /// End of validity in seconds since the Unix epoch; none means no end.
    #[serde(default)]
    pub expires: Option<u64>,
}

/// `teams/<team>/serving/<model>`: how the team's requests for a model are served.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serving {
    /// Weight version; none means the model's default.
    #[serde(default)]
    pub version: Option<VersionId>,
    /// Adapter; none means the plain model.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// Priority where the request names none.
    #[serde(default)]
    pub priority: Priority,
    /// Time in which a batch answer must be complete.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub deadline_ms: Option<Duration>,
}

/// Who waits for an answer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// A long job that must be complete by its deadline.
    Batch,
    /// A person waits for the first token.
    #[default]
    Interactive,
}

use crate::ids::{AdapterId, HostId, ModelId, RegionId, VersionId, WorkspaceId, ZoneId};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, hex::Hex, serde_as};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

/// BLAKE3 hash of a bearer token; the token itself is never stored.
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
    /// Region that contains the zone.
    pub region: RegionId,
    /// Whether the zone accepts new work.
    pub state: ZoneState,
}

/// Whether an availability zone accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// The zone is in service.
    In,
    /// The zone was taken out of service by operators and accepts no new work.
    Out,
}

/// `models/<model>`: a model, or a plain service that requests address like a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Kind of endpoint that serves the model.
    pub kind: EndpointKind,
    /// Available weight versions; empty for a plain service.
    #[serde(default)]
    pub versions: BTreeSet<VersionId>,
    /// Available adapters; empty for a plain service.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterId>,
    /// Version served if a team specifies none.
    #[serde(default)]
    pub default_version: Option<VersionId>,
    /// Number of tokens in one piece of the engine's cache.
    #[serde(default = "default_piece_tokens")]
    pub piece_tokens: u32,
}

fn default_piece_tokens() -> u32 {
    1_000
}

/// Kind of an endpoint, which determines whether its requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// Model engine, whose requests may be retried.
    Engine,
    /// Plain service, whose requests run at most once.
    Service,
}

/// `endpoints/<endpoint>`: one engine replica or plain service and the daemon in front of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// Host that the endpoint and its daemon run on.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Model or plain service that the endpoint serves.
    pub model: ModelId,
    /// Address of the endpoint daemon's request protocol.
    pub rpc: SocketAddr,
    /// Whether the endpoint rejects an order with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// `stores/<store>`: a host that stores saved cache blocks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreEntry {
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address of the store's HTTP interface.
    pub address: SocketAddr,
}

/// `workspaces/<workspace>`: the unit of isolation and fair sharing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceEntry {
    /// Share of endpoint time relative to other workspaces, from 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// `access/<team>`: what a team may use; set by operators and read-only for the team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// Workspace that the team's requests run in.
    pub workspace: WorkspaceId,
    /// Hash of the token that reads and writes `teams/<team>/` and nothing else.
    pub token: TokenHash,
    /// Models and plain services that the team may use.
    pub models: BTreeSet<ModelId>,
    /// Adapters that the team may use.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterId>,
    /// Weight versions that the team may use; if empty, only each model's default.
    #[serde(default)]
    pub versions: BTreeSet<VersionId>,
}

/// `teams/<team>/callers/<name>`: a token for the team's callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerToken {
    /// Hash of the bearer token.
    pub token: TokenHash,
    /// Expiry time in seconds since the Unix epoch; `None` if the token does not expire.
    #[serde(default)]
    pub expires: Option<u64>,
}

/// `teams/<team>/serving/<model>`: how the team's requests for a model are served.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serving {
    /// Weight version; `None` selects the model's default.
    #[serde(default)]
    pub version: Option<VersionId>,
    /// Adapter; `None` selects the base model.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// Priority of requests that specify none.
    #[serde(default)]
    pub priority: Priority,
    /// Time limit of requests that specify no `timeout_ms`, in milliseconds as JSON; never longer than
    /// the daemon's request timeout, which applies if this is `None`.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub deadline_ms: Option<Duration>,
}

/// Priority class of a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// A long-running job that must be complete by its deadline.
    Batch,
    /// A user is waiting for the first token.
    #[default]
    Interactive,
}

//! Identifier types and collections keyed by them.

mod bounded_map;
mod collections;
mod ordered_map;
mod piece_key;
mod stable_hash;

pub use self::{
    bounded_map::BoundedMap,
    collections::{FastMap, FastSet},
    ordered_map::OrderedMap,
    piece_key::{PieceKey, PromptRoot},
    stable_hash::stable_hash,
};

use std::sync::Arc;

/// Name of a workspace, the unit of isolation between callers.
pub type WorkspaceId = Arc<str>;
/// Name of a team; each team owns one subtree of the settings.
pub type TeamId = Arc<str>;
/// Name of a model or of a plain service, as given in the `model` field of requests.
pub type ModelId = Arc<str>;
/// Name of an adapter of a model.
pub type AdapterId = Arc<str>;
/// Name of a weight version of a model.
pub type VersionId = Arc<str>;
/// Name of an endpoint: one engine replica or one instance of a plain service.
pub type EndpointId = Arc<str>;
/// Name of a service: a group of interchangeable endpoints that forwarding routes lead to.
pub type ServiceId = Arc<str>;
/// Version of a service's software, as endpoint entries and rollout orders name it.
pub type ServiceVersion = Arc<str>;
/// Name of a host in the platform's host list.
pub type HostId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a region, a group of availability zones.
pub type RegionId = Arc<str>;
/// Name of a store for prefix cache blocks.
pub type StoreId = Arc<str>;
/// Name of a daemon, unique in the deployment.
pub type DaemonId = Arc<str>;
/// Random number drawn at each start of a process, which tells a restarted process from the earlier
/// one.
pub type BootId = u64;
/// Position in the settings log; increases monotonically.
pub type Revision = u64;
/// ID of one attempt to run a request on one endpoint; globally unique.
pub type AttemptId = u128;
/// Value of a caller's `Idempotency-Key` header; unique within a workspace.
pub type IdempotencyKey = Arc<str>;

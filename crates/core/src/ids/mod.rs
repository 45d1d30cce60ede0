//! Identifiers and the collections keyed by them.

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
/// Name of a team, which owns one subtree of the settings.
pub type TeamId = Arc<str>;
/// Name of a model or of a plain service; requests name it as `model`.
pub type ModelId = Arc<str>;
/// Name of an adapter of a model.
pub type AdapterId = Arc<str>;
/// Name of a weight version of a model.
pub type VersionId = Arc<str>;
/// Name of an endpoint: one engine replica or one plain service.
pub type EndpointId = Arc<str>;
/// Name of a service: endpoints that are alike, behind forwarding routes.
pub type ServiceId = Arc<str>;
/// Name of a host as the platform lists it.
pub type HostId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a region, a group of availability zones.
pub type RegionId = Arc<str>;
/// Name of a store host for kept cache blocks.
pub type StoreId = Arc<str>;
/// Name of a daemon, unique in the deployment.
pub type DaemonId = Arc<str>;
/// Random number drawn at each start of a process; a restart is a new boot.
pub type BootId = u64;
/// Position in the settings log; it only grows.
pub type Revision = u64;
/// One attempt to run a request on one endpoint, unique across the system.
pub type AttemptId = u128;
/// A caller's `Idempotency-Key`, unique within a workspace.
pub type IdempotencyKey = Arc<str>;

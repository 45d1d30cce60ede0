use super::{CacheStore, RouteTable};
use crate::ids::{FastMap, ModelId, ServiceId, WorkspaceId};
use std::time::Duration;

/// Bounds on what a caller may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time in which a request's head must arrive.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Workspace that a caller's key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOwner {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Rank of its requests, in place of the route's; 0 goes first.
    pub priority: Option<u8>,
    /// Whether it shares kept cache with no other workspace.
    pub is_dedicated: bool,
}

/// Capacity of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelEngine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// Models that the engines run.
    pub models: Vec<ModelId>,
}

/// Service that requests are forwarded to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Requests a second that a cold endpoint takes from all daemons together; 0 sets no bound.
    pub cold_per_s: f64,
    /// What its engines hold, if it is a service of model engines.
    pub engine: Option<ModelEngine>,
}

/// Forwarding settings in force.
#[derive(Clone, Debug, Default)]
pub struct ForwardSettings {
    /// Version; it grows in uneven steps.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Services by name.
    pub services: FastMap<ServiceId, Service>,
    /// Stores of kept cache.
    pub stores: Vec<CacheStore>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    /// Owners of the callers' keys; none if callers need no keys.
    pub keys: Option<FastMap<String, KeyOwner>>,
}

use super::{CacheSharing, CacheStore, RouteKind, RouteTable};
use crate::ids::{FastMap, ModelId, ServiceId, WorkspaceId};
use std::time::Duration;

/// Limits on the requests of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request's head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
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

/// Workspace that an API key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOwner {
    /// Identifier of the workspace.
    pub workspace: WorkspaceId,
    /// Priority of its requests, overriding the route's; 0 is served first.
    pub priority: Option<u8>,
}

/// Capacity of each model engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelEngine {
    /// Number of requests one engine runs concurrently.
    pub slots: u32,
    /// KV-cache capacity of one engine, in tokens.
    pub memory_tokens: u64,
    /// Models served by the engines.
    pub models: Vec<ModelId>,
}

/// A service that requests are forwarded to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name by which routes and endpoint entries refer to the service.
    pub name: ServiceId,
    /// Rate limit of a cold endpoint over all daemons, in requests per second; 0 means no limit.
    pub cold_per_s: f64,
    /// Path at which its endpoints answer health checks.
    pub health_path: Option<String>,
    /// Engine capacity; `None` for a plain service.
    pub engine: Option<ModelEngine>,
}

/// Forwarding settings in force.
#[derive(Clone, Debug, Default)]
pub struct ForwardSettings {
    /// Version number; it increases, not always by one.
    pub version: u64,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// Services by name.
    pub services: FastMap<ServiceId, Service>,
    /// Stores that engines fetch KV-cache parts from and save them to.
    pub stores: Vec<CacheStore>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    /// Owners of the API keys; `None` if callers need no key.
    pub keys: Option<FastMap<String, KeyOwner>>,
    /// Which workspaces share cached parts.
    pub sharing: CacheSharing,
}

/// Time for which a stream can be resumed, as a multiple of the time that its route allows: callers
/// may wait longer than that.
const STREAM_LIFETIME_FACTOR: u32 = 2;

impl ForwardSettings {
    /// Time for which the streams of each service can be resumed after their beginning; services
    /// without such streams are left out.
    pub fn stream_lifetimes(&self) -> FastMap<ServiceId, Duration> {
        let mut lifetimes: FastMap<ServiceId, Duration> = FastMap::default();
        let routes = self.routes.iter().filter(|route| route.kind == RouteKind::ResumableStream);
        for route in routes {
            for target in &route.targets {
                let lifetime = lifetimes.entry(target.service.clone()).or_default();
                *lifetime = (*lifetime).max(route.timeout * STREAM_LIFETIME_FACTOR);
            }
        }
        lifetimes
    }
}

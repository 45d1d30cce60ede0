use crate::ids::{EndpointId, ModelId, ServiceId, ServiceVersion, ZoneId};
use std::{net::SocketAddr, time::Duration};

/// Lifecycle phase that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint is shutting down and accepts no new requests.
    Draining,
}

/// Registration of an endpoint in the platform's endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Endpoint name; a restart in place reuses it.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Version of the endpoint's software; empty if the entry names none.
    pub version: ServiceVersion,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Availability zone the endpoint runs in.
    pub zone: ZoneId,
    /// Number of requests the endpoint runs concurrently.
    pub slots: u32,
    /// Lifecycle phase when the entry was written.
    pub phase: EndpointPhase,
    /// Remaining cold period when the entry was written; zero for a warm endpoint.
    pub cold_left: Duration,
    /// Process start in Unix milliseconds, which distinguishes two boots with the same name.
    pub started_unix_ms: Option<u64>,
    /// Weight version loaded for each model.
    pub weights: Vec<(ModelId, u64)>,
}

impl EndpointEntry {
    /// Whether another entry of this name was written by the same boot of the endpoint.
    pub fn is_same_boot(&self, other: &Self) -> bool {
        self.started_unix_ms == other.started_unix_ms
            && self.address == other.address
            && self.service == other.service
    }

    /// Loaded weight version of a model; `None` if the entry does not list the model.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.weights.iter().find(|(name, _)| &**name == model).map(|(_, version)| *version)
    }
}

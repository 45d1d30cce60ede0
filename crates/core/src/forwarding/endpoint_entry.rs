use crate::ids::{EndpointId, ModelId, ServiceId, ZoneId};
use std::{net::SocketAddr, time::Duration};

/// Phase of an endpoint's life, as it says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It takes requests.
    Ready,
    /// It is about to leave and takes no new requests.
    Draining,
}

/// An endpoint's entry in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Name, used again by a restart in place.
    pub id: EndpointId,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Phase.
    pub phase: EndpointPhase,
    /// Time for which it was still cold when the entry was written.
    pub cold_left: Duration,
    /// Start of the process, in Unix milliseconds; it tells two boots with one name apart.
    pub born_unix_ms: Option<u64>,
    /// Weight version of each model.
    pub weights: Vec<(ModelId, u64)>,
}

impl EndpointEntry {
    /// Weight version of a model.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.weights.iter().find(|(name, _)| &**name == model).map(|(_, version)| *version)
    }
}

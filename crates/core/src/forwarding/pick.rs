use super::{EndpointEntry, PartPlaceKey, PlacedWork, Prompt, Service};
use crate::ids::{EndpointId, ZoneId};
use std::time::Duration;

/// What a request needs of an endpoint.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// Service.
    pub service: &'a Service,
    /// Prompt, for a service of model engines.
    pub prompt: Option<&'a Prompt>,
    /// Key of the last shared part of the prompt.
    pub part: Option<PartPlaceKey>,
    /// Availability zones of the stores that hold that part.
    pub stored_in: &'a [ZoneId],
    /// Endpoints not to be chosen.
    pub excluded: &'a [EndpointId],
    /// Time for which older weights may still be used after newer ones were named.
    pub old_weights_for: Duration,
    /// Number that settles ties, spread evenly.
    pub spread: u64,
}

/// Endpoint that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Picked {
    /// Its entry.
    pub entry: EndpointEntry,
    /// Weight version that the request must run on.
    pub version: Option<u64>,
    /// Work that the request brings there.
    pub work: PlacedWork,
    /// What decided it.
    pub inputs: PickInputs,
}

/// State of an endpoint when it was chosen, as it was known then.
#[derive(Clone, Debug, PartialEq)]
pub struct PickInputs {
    /// Endpoints that were compared.
    pub candidates: usize,
    /// Requests that all daemons have there.
    pub requests: u32,
    /// Prompt tokens that wait there to be read.
    pub unread_tokens: u64,
    /// Its last own load report, if it sent any.
    pub load_report: Option<LoadReport>,
    /// Share of its late requests that failed, 0 to 1.
    pub failure_rate: f64,
    /// Whether it is cold.
    pub is_cold: bool,
}

/// What an endpoint said of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it ran and held.
    pub requests: u32,
    /// Time since then.
    pub age: Duration,
}

/// Outcome of choosing an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// An endpoint.
    Endpoint(Box<Picked>),
    /// Those that could take the request are full, cold, resting or changing weights; it is worth
    /// looking again after this time.
    Busy(Duration),
    /// The service has no endpoint that was not tried yet.
    Nowhere,
}

/// Load of a service, for logs and the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Endpoints that take requests.
    pub endpoints: usize,
    /// Requests of this daemon that run there.
    pub in_flight: usize,
    /// Prompt tokens that they read in a millisecond together.
    pub tokens_per_ms: f64,
}

impl ServiceLoad {
    /// Time in which one of the endpoints reads a prompt.
    pub fn reading(&self, tokens: u64) -> Duration {
        let of_one = self.tokens_per_ms / self.endpoints.max(1) as f64;
        Duration::from_secs_f64(tokens as f64 / of_one.max(1.0) / 1e3)
    }
}

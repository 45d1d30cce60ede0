use super::{EndpointEntry, PartKey, Prompt, RequestWork, Service, WorkTimeSample};
use crate::ids::{EndpointId, ServiceVersion, ZoneId};
use std::time::Duration;

/// Requirements of a request for endpoint selection.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// Service that the request is for.
    pub service: &'a Service,
    /// Prompt of the request; `None` for a plain service.
    pub prompt: Option<&'a Prompt>,
    /// Key of the prompt's last shared part.
    pub part: Option<PartKey>,
    /// Availability zones of the cache stores that hold that part.
    pub stored_in: &'a [ZoneId],
    /// Endpoints that must not be selected, such as those already tried.
    pub excluded: &'a [EndpointId],
    /// Software versions to select from; `None` for any.
    pub versions: Option<&'a [ServiceVersion]>,
    /// Time after a weight update for which older versions may still be used.
    pub old_weights_limit: Duration,
    /// Whether the request may go to a version on trial.
    pub may_expose: bool,
    /// Uniformly distributed number that breaks ties.
    pub tie_breaker: u64,
}

/// A selected endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Picked {
    /// Registration of the endpoint.
    pub entry: EndpointEntry,
    /// Weight version that the request must run on; `None` for a plain service.
    pub version: Option<u64>,
    /// Load that the request adds to the endpoint.
    pub work: RequestWork,
    /// Inputs of the decision, for logs.
    pub inputs: PickInputs,
}

impl PickRequest<'_> {
    /// Whether the request may go to an endpoint of this software version.
    pub fn fits_version(&self, version: &ServiceVersion) -> bool {
        self.versions.is_none_or(|versions| versions.contains(version))
    }
}

/// Known state of an endpoint at the time of its selection.
#[derive(Clone, Debug, PartialEq)]
pub struct PickInputs {
    /// Number of endpoints that were compared.
    pub candidates: usize,
    /// Requests in flight there, of all daemons.
    pub requests: u32,
    /// Prompt tokens queued there for prefill.
    pub unread_tokens: u64,
    /// The endpoint's last load report, if it sent any.
    pub load_report: Option<LoadReport>,
    /// What the endpoint last said of the time that work takes there, unless that is too old.
    pub work_time: Option<WorkTimeSample>,
    /// Recent failure rate, 0 to 1.
    pub failure_rate: f64,
    /// Whether the endpoint is in its cold period.
    pub is_cold: bool,
    /// Limit that the endpoint advertises, in requests a second.
    pub limit_per_s: Option<f64>,
}

/// Load reported by an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running and waiting requests.
    pub requests: u32,
    /// Age of the report.
    pub age: Duration,
}

/// Result of endpoint selection.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// The endpoint to send the request to.
    Endpoint(Box<Picked>),
    /// All candidates are full, cold, in backoff or changing weights; selection is worth repeating
    /// after this time.
    Busy(Duration),
    /// All endpoints that have not been tried yet asked for a time without requests; the first one
    /// wants requests again after this time.
    Paused(Duration),
    /// The service has no endpoint that has not been tried yet.
    NoEndpoint,
}

/// Load on a service, for queueing decisions, logs and the state dump.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Number of endpoints that accept requests.
    pub endpoints: usize,
    /// Requests of this daemon in flight there.
    pub in_flight: usize,
    /// Combined prefill rate of the endpoints, in prompt tokens per millisecond.
    pub tokens_per_ms: f64,
}

impl ServiceLoad {
    /// Estimated time for one endpoint to prefill a prompt of `tokens` tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let per_endpoint = self.tokens_per_ms / self.endpoints.max(1) as f64;
        Duration::from_secs_f64(tokens as f64 / per_endpoint.max(1.0) / 1e3)
    }
}

use cassiagw_core::{
    forwarding::{
        ChangedKeys, EndpointWork, LeavingStatement, LimitStatement, PartLocation,
        QuarantineReport, RelayCursor, RelayedStore, RolloutStatement, StorePosition, StreamKey,
        StreamOrigin,
    },
    ids::{DaemonId, EndpointId, ModelId, ServiceId},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// RPC service between daemons of the forwarding role.
#[tarpc::service]
pub trait ForwardPeerRpc {
    /// Announces the position in the store that the sender has reached and the address of its RPC service.
    async fn announce(position: StorePosition, from: SocketAddr);
    /// Returns the store keys that changed after a position.
    async fn changes_after(position: StorePosition) -> ChangedKeys;
    /// Reports the sender's requests at engines and the position in the store that it has reached. In a
    /// large fleet, a receiver in another availability zone passes the report on in its zone.
    async fn work(report: WorkReport) -> WorkReceipt;
    /// Reports of several daemons, passed on by a daemon in the same availability zone.
    async fn relayed_work(reports: Vec<WorkReport>) -> WorkReceipt;
    /// Reports the states of engines that result from orders.
    async fn engine_news(updates: Vec<EngineUpdate>);
    /// Returns the content of cache stores, from the positions that the caller has reached. Stores
    /// whose content is not known are left out.
    async fn cache_content(wanted: Vec<(ServiceId, Option<RelayCursor>)>) -> Vec<RelayedStore>;
    /// Returns what is known of prompt parts that crash endpoints, for a daemon that starts.
    async fn quarantine() -> QuarantineReport;
    /// Tells at which versions streams were placed, while several versions of a service serve.
    async fn streams_placed(origins: Vec<StreamOrigin>);
    /// Returns the origin of a stream, if the receiver knows it.
    async fn stream_origin(key: StreamKey) -> Option<StreamOrigin>;
}

/// State of an engine after an order, as known to the daemon that sent the order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// Endpoint at which the engine runs.
    pub engine: EndpointId,
    /// Model that the order concerns.
    pub model: ModelId,
    /// Weight version that the engine runs.
    pub version: u64,
    /// Time for which the engine accepts no requests because it is changing weights.
    pub busy_for: Duration,
}

/// Requests and cached prompt parts that a daemon has placed at engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkReport {
    /// Reporting daemon.
    pub from: DaemonId,
    /// Position in the store that the daemon has reached.
    pub position: StorePosition,
    /// Its outstanding requests at engines.
    pub work: Vec<EndpointWork>,
    /// Prompt parts that its requests placed at engines since its previous report.
    pub places: Vec<PartLocation>,
    /// What endpoints lately said to it of their limits.
    pub limits: Vec<LimitStatement>,
    /// Endpoints that lately said to it that they leave.
    pub leaving: Vec<LeavingStatement>,
    /// What it knows of prompt parts that crash endpoints.
    pub quarantine: QuarantineReport,
    /// What it has seen of the rollouts of services.
    pub rollouts: Vec<(ServiceId, RolloutStatement)>,
    /// Whether it was sent early, since it has something that the others should hear soon.
    pub is_urgent: bool,
    /// Time for which a relay has held the report.
    pub age: Duration,
}

/// Answer to a report: how far the receiver has read the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkReceipt {
    /// Position in the store that the receiver has reached.
    pub position: StorePosition,
    /// What the receiver knows of all daemons of its availability zone; `None` in a small fleet, or if
    /// one of them has not answered it.
    pub zone: Option<ZoneReceipt>,
}

/// How far the daemons of an availability zone have read the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReceipt {
    /// Number of daemons.
    pub daemons: usize,
    /// Position in the store that none of them had passed.
    pub position: StorePosition,
    /// Time since the earliest of the calls that they answered.
    pub age: Duration,
}

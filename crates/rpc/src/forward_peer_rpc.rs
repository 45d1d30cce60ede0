use cassiagw_core::{
    forwarding::{ChangedKeys, EndpointWork, PartLocation},
    ids::{DaemonId, EndpointId, ModelId},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Requests between daemons of the forwarding role.
#[tarpc::service]
pub trait ForwardPeerRpc {
    /// Tells how far the sender's view of the store goes, and where it can be asked.
    async fn announce(revision: u64, from: SocketAddr);
    /// Asks for what changed in the store's keys after a revision.
    async fn changes_after(revision: u64) -> ChangedKeys;
    /// Tells what the sender has at engines, and how far its view of the store goes.
    async fn work(news: WorkNews);
    /// Tells what became of orders to engines.
    async fn engine_news(news: Vec<EngineNews>);
}

/// State of an engine that is told of an order, as the daemon that gave it knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineNews {
    /// Engine.
    pub engine: EndpointId,
    /// Model.
    pub model: ModelId,
    /// Weight version that it runs.
    pub version: u64,
    /// Time for which it takes no requests, while it changes weights.
    pub busy_for: Duration,
}

/// What a daemon has at engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkNews {
    /// Daemon.
    pub from: DaemonId,
    /// How far its view of the store goes.
    pub revision: u64,
    /// Its requests at engines.
    pub work: Vec<EndpointWork>,
    /// Prompt parts that it brought to engines since it last told.
    pub places: Vec<PartLocation>,
}

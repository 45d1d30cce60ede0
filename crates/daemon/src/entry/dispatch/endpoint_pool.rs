use crate::entry::routing::EntryRouting;
use cassiagw_core::ids::{EndpointId, ZoneId};
use cassiagw_rpc::{
    ClientPool, Deployment, EndpointRpcClient, LoadReport, RpcError, connect_endpoint,
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Assumed age of a load report on arrival: requests sent within this time are not part of it.
const REPORT_LAG: Duration = Duration::from_millis(5);

/// Connections to endpoint daemons, opened on demand, and the routing state of the entry.
pub struct EndpointPool {
    deployment: Deployment,
    connect_timeout: Duration,
    clients: ClientPool<EndpointRpcClient>,
    routing: EntryRouting,
}

impl EndpointPool {
    /// Creates a pool without connections for an entry in `zone`.
    pub fn new(deployment: Deployment, connect_timeout: Duration, zone: ZoneId) -> Self {
        Self {
            deployment,
            connect_timeout,
            clients: ClientPool::default(),
            routing: EntryRouting::new(zone),
        }
    }

    /// Endpoint selection and retry budget, shared by all requests.
    pub fn routing(&self) -> &EntryRouting {
        &self.routing
    }

    /// Returns a pooled connection to an endpoint daemon, or opens one.
    ///
    /// # Errors
    /// Connecting failed, so nothing was sent.
    pub async fn client(&self, address: SocketAddr) -> Result<EndpointRpcClient, RpcError> {
        let connect = connect_endpoint(address, self.deployment, self.connect_timeout);
        self.clients.client(address, connect).await
    }

    /// Removes a failed connection from the pool, so that the next call opens a new one.
    pub fn discard(&self, address: SocketAddr) {
        self.clients.discard(address);
    }

    /// Records a load report from a reply received just now.
    pub fn record_load(&self, endpoint: &EndpointId, load: LoadReport) {
        let now = Instant::now();
        let as_of = now.checked_sub(REPORT_LAG).unwrap_or(now);
        self.routing.on_load(endpoint, &load, as_of);
    }
}

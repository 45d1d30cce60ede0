use crate::entry::routing::EntryRouting;
use cassiagw_core::ids::{EndpointId, ZoneId};
use cassiagw_rpc::{
    ClientPool, Deployment, EndpointRpcClient, LoadReport, RpcError, connect_endpoint,
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Age of a report when it arrives; a request sent since is not in it.
const REPORT_LAG: Duration = Duration::from_millis(5);

/// Connections to endpoint daemons, made when needed, and the choice between endpoints.
pub struct EndpointPool {
    deployment: Deployment,
    connect_timeout: Duration,
    clients: ClientPool<EndpointRpcClient>,
    routing: EntryRouting,
}

impl EndpointPool {
    /// Makes the empty pool of an entry in a zone.
    pub fn new(deployment: Deployment, connect_timeout: Duration, zone: ZoneId) -> Self {
        Self {
            deployment,
            connect_timeout,
            clients: ClientPool::default(),
            routing: EntryRouting::new(zone),
        }
    }

    /// Choice of endpoints and budget of retries.
    pub fn routing(&self) -> &EntryRouting {
        &self.routing
    }

    /// Gives a connection to an endpoint daemon.
    ///
    /// # Errors
    /// No connection could be made, so nothing was sent.
    pub async fn client(&self, address: SocketAddr) -> Result<EndpointRpcClient, RpcError> {
        let connect = connect_endpoint(address, self.deployment, self.connect_timeout);
        self.clients.client(address, connect).await
    }

    /// Drops a connection that failed; the next call makes a new one.
    pub fn discard(&self, address: SocketAddr) {
        self.clients.discard(address);
    }

    /// Takes the load that came with a reply just now.
    pub fn record_load(&self, endpoint: &EndpointId, load: LoadReport) {
        let now = Instant::now();
        let as_of = now.checked_sub(REPORT_LAG).unwrap_or(now);
        self.routing.on_load(endpoint, &load, as_of);
    }
}

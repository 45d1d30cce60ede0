use cassiagw_core::ids::{EndpointId, FastMap};
use cassiagw_rpc::{EndpointRpcClient, LoadReport, RpcError, connect_endpoint};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Connections to endpoint daemons, made when needed, and the last load that each reported.
pub struct EndpointPool {
    connect_timeout: Duration,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    clients: FastMap<SocketAddr, EndpointRpcClient>,
    loads: FastMap<EndpointId, Arc<LoadReport>>,
}

impl EndpointPool {
    /// Makes an empty pool.
    pub fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout, state: Mutex::default() }
    }

    /// Gives a connection to an endpoint daemon.
    ///
    /// # Errors
    /// No connection could be made, so nothing was sent.
    pub async fn client(&self, address: SocketAddr) -> Result<EndpointRpcClient, RpcError> {
        if let Some(client) = self.lock().clients.get(&address) {
            return Ok(client.clone());
        }
        let client = connect_endpoint(address, self.connect_timeout).await?;
        self.lock().clients.insert(address, client.clone());
        Ok(client)
    }

    /// Drops a connection that failed; the next call makes a new one.
    pub fn discard(&self, address: SocketAddr) {
        self.lock().clients.remove(&address);
    }

    /// Remembers the load that an endpoint daemon reported.
    pub fn record_load(&self, endpoint: &EndpointId, load: LoadReport) {
        self.lock().loads.insert(endpoint.clone(), Arc::new(load));
    }

    /// Last load that an endpoint daemon reported.
    pub fn load(&self, endpoint: &str) -> Option<Arc<LoadReport>> {
        self.lock().loads.get(endpoint).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

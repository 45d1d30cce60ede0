use crate::RpcError;
use cassiagw_core::ids::FastMap;
use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Pool of RPC clients, one per address, which are connected on first use and reused until they
/// fail.
#[derive(Debug)]
pub struct ClientPool<C> {
    max_clients: usize,
    clients: Mutex<FastMap<SocketAddr, C>>,
}

impl<C> Default for ClientPool<C> {
    fn default() -> Self {
        Self { max_clients: usize::MAX, clients: Mutex::default() }
    }
}

impl<C: Clone> ClientPool<C> {
    /// Sets the maximum number of clients kept. A new client that would exceed it evicts an
    /// arbitrary one.
    pub fn with_max_clients(mut self, max_clients: usize) -> Self {
        self.max_clients = max_clients;
        self
    }

    /// Returns the client for an address and connects if there is none yet.
    ///
    /// # Errors
    /// The connection failed, so no request was sent.
    pub async fn client(
        &self,
        address: SocketAddr,
        connect: impl Future<Output = Result<C, RpcError>>,
    ) -> Result<C, RpcError> {
        if let Some(client) = self.lock().get(&address) {
            return Ok(client.clone());
        }
        let client = connect.await?;
        let mut clients = self.lock();
        let evicted = clients.keys().find(|_| clients.len() >= self.max_clients).copied();
        evicted.and_then(|address| clients.remove(&address));
        clients.insert(address, client.clone());
        Ok(client)
    }

    /// Removes a failed client, so that the next call reconnects.
    pub fn discard(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, C>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

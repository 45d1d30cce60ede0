use crate::RpcError;
use cassiagw_core::ids::FastMap;
use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Clients of other processes, one an address, made when needed and kept while they work.
#[derive(Debug)]
pub struct ClientPool<C> {
    most: usize,
    clients: Mutex<FastMap<SocketAddr, C>>,
}

impl<C> Default for ClientPool<C> {
    fn default() -> Self {
        Self { most: usize::MAX, clients: Mutex::default() }
    }
}

impl<C: Clone> ClientPool<C> {
    /// Sets how many clients are kept; any one goes when there are more.
    pub fn with_most(mut self, most: usize) -> Self {
        self.most = most;
        self
    }

    /// Gives the client of an address, connecting if there is none.
    ///
    /// # Errors
    /// No connection could be made, so nothing was sent.
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
        let surplus = clients.keys().find(|_| clients.len() >= self.most).copied();
        surplus.and_then(|address| clients.remove(&address));
        clients.insert(address, client.clone());
        Ok(client)
    }

    /// Drops a client that failed; the next call connects anew.
    pub fn discard(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, C>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

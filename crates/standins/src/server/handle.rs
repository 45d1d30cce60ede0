use super::{StandIn, listener};
use std::{io, net::SocketAddr, ops::Deref, sync::Arc};
use tokio::{net::TcpListener, task::JoinHandle};

/// A running stand-in; dropping the handle stops it and closes its connections.
#[derive(Debug)]
pub struct Handle<S: StandIn> {
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    state: Arc<S>,
    task: JoinHandle<()>,
}

/// Starts a stand-in on a free port of 127.0.0.1.
///
/// # Panics
/// If no loopback port can be bound.
pub async fn spawn<S: StandIn>(cfg: S::Config) -> Handle<S> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    spawn_with_admin(cfg, loopback, None).await.expect("a loopback port can be bound")
}

/// Starts a stand-in at `listen`; `admin` also serves the administration API and stays open
/// while the stand-in refuses connections.
///
/// # Errors
/// `listen` cannot be bound.
pub async fn spawn_with_admin<S: StandIn>(
    cfg: S::Config,
    listen: SocketAddr,
    admin: Option<TcpListener>,
) -> io::Result<Handle<S>> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let state = Arc::new(S::new(cfg));
    let task = tokio::spawn(listener::run(state.clone(), listener, address, admin));
    Ok(Handle { address, state, task })
}

impl<S: StandIn> Handle<S> {
    /// Returns what the stand-in has recorded so far.
    pub fn records(&self) -> S::Records {
        self.state.records()
    }

    /// Modifies the faults and applies those that take effect once.
    pub fn set_faults(&self, change: impl FnOnce(&mut S::Faults)) {
        self.state.faults().update(change);
        self.state.on_faults_changed();
    }

    /// Stops the stand-in and closes its connections, like dropping the handle.
    pub fn stop(self) {}
}

impl<S: StandIn> Deref for Handle<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.state
    }
}

impl<S: StandIn> Drop for Handle<S> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

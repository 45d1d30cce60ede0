use super::{
    connection_pool::ConnectionPool,
    forward_state::ForwardState,
    metrics::{Figures, ForwardMetrics},
    peers::PeerLinks,
    queues::Queues,
    request_log::RequestLog,
};
use cassiagw_core::forwarding::{ChangedKeys, ForwardConfig};
use cassiagw_platform::{CacheStoreClient, EngineClient, Store};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};
use tokio::sync::watch;

/// What every part of a daemon in the forwarding role shares.
pub struct Forward {
    cfg: Mutex<Arc<ForwardConfig>>,
    /// Random number of this process.
    pub boot: u64,
    store: Mutex<Store>,
    /// Calls of engines beside requests.
    pub engines: EngineClient,
    /// Calls of the stores of kept cache.
    pub caches: CacheStoreClient,
    /// Connections to endpoints.
    pub pool: ConnectionPool,
    /// Connections to other daemons.
    pub peers: PeerLinks,
    /// Requests that wait for room.
    pub queues: Queues,
    /// Metrics.
    pub metrics: Arc<ForwardMetrics>,
    /// Lines about requests.
    pub request_log: Arc<RequestLog>,
    /// Turns true once when the process is asked to stop.
    pub draining: watch::Sender<bool>,
    /// Revision of the view after its last change.
    pub changed: watch::Sender<u64>,
    state: Mutex<ForwardState>,
}

impl Forward {
    /// Makes the context of a process that starts now.
    pub fn new(cfg: ForwardConfig) -> Self {
        let metrics = Arc::new(ForwardMetrics::new());
        Self {
            boot: rand::random(),
            store: Mutex::new(Store::new(cfg.store.clone())),
            engines: EngineClient::new(),
            caches: CacheStoreClient::new(),
            pool: ConnectionPool::default(),
            peers: PeerLinks::default(),
            queues: Queues::default(),
            request_log: Arc::new(RequestLog::new(Instant::now(), metrics.clone())),
            metrics,
            draining: watch::Sender::new(false),
            changed: watch::Sender::new(0),
            state: Mutex::new(ForwardState::new(&cfg, Instant::now())),
            cfg: Mutex::new(Arc::new(cfg)),
        }
    }

    /// Checked settings of the process.
    pub fn cfg(&self) -> Arc<ForwardConfig> {
        lock(&self.cfg).clone()
    }

    /// Platform's store.
    pub fn store(&self) -> Store {
        lock(&self.store).clone()
    }

    /// Takes changed settings of the process; addresses that it listens on keep until a restart.
    pub fn reload(&self, cfg: ForwardConfig) {
        if self.cfg().store != cfg.store {
            *lock(&self.store) = Store::new(cfg.store.clone());
        }
        self.state().set_params(cfg.params.clone());
        *lock(&self.cfg) = Arc::new(cfg);
    }

    /// What the daemon believes of the world.
    pub fn state(&self) -> MutexGuard<'_, ForwardState> {
        lock(&self.state)
    }

    /// Takes changes of the store's keys and wakes those that wait for any.
    pub fn apply(&self, changes: ChangedKeys) {
        let mut state = self.state();
        let is_changed = state.apply(Instant::now(), changes);
        let revision = state.view.as_of();
        drop(state);
        if is_changed {
            self.changed.send_replace(revision);
        }
    }

    /// What the daemon believes now, in figures.
    pub fn figures(&self) -> Figures {
        let queued = self.queues.len();
        let state = self.state();
        Figures {
            settings_version: state.settings.version,
            store_age: state.store_age(Instant::now()),
            queued,
            members: state.daemons(),
        }
    }

    /// Whether the process was asked to stop.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Whether the daemon takes connections of callers.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.state().is_loaded()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

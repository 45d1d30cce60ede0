use super::{
    connection_pool::ConnectionPool,
    forward_state::ForwardState,
    metrics::{ForwardMetrics, GaugeValues},
    peers::PeerClients,
    queues::Queues,
    request_log::RequestLog,
};
use crate::caller_memory::CallerMemory;
use cassiagw_core::forwarding::{
    AnswerBudget, ChangedKeys, DrainSchedule, ForwardConfig, KeyWriter, StorePosition,
};
use cassiagw_platform::{CacheStoreClient, EngineClient, IdentityClient, Store};
use std::{
    future::pending,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::{Mutex as AsyncMutex, Notify, watch},
    time::sleep_until,
};

/// Context shared by all tasks of a daemon in the forwarding role.
pub struct Forwarder {
    cfg: Mutex<Arc<ForwardConfig>>,
    /// Random ID of this process.
    pub boot: u64,
    /// This process, as writer of keys in the store.
    pub own: KeyWriter,
    store: Mutex<Store>,
    /// Client for the control API of engines.
    pub engines: EngineClient,
    /// Client for the cache stores.
    pub caches: CacheStoreClient,
    /// Client that asks endpoints who they are.
    pub identities: IdentityClient,
    /// Pool of connections to endpoints.
    pub pool: ConnectionPool,
    /// RPC clients of the other daemons.
    pub peers: PeerClients,
    /// Requests that wait for capacity at an engine.
    pub queues: Queues,
    /// Metrics, served by the admin listener.
    pub metrics: Arc<ForwardMetrics>,
    /// Writer of rate-limited log lines about requests.
    pub request_log: Arc<RequestLog>,
    /// Notifies the report task that the other daemons should hear something soon.
    pub report_due: Notify,
    /// Notifies the report task that an urgent report of another daemon is to be passed on.
    pub relay_due: Notify,
    /// Held while the store is read to prove that the view is complete.
    pub confirming: AsyncMutex<()>,
    /// Number of answers of other daemons to reports; notifies requests that wait for them.
    pub receipts: watch::Sender<u64>,
    /// Notifies the task that tells the other daemons at which versions streams were placed.
    pub origins_due: Notify,
    /// Number of changes of the quarantines on prompt parts; notifies requests that wait.
    pub quarantine_changes: watch::Sender<u64>,
    /// Set to true when the process is asked to stop.
    pub draining: watch::Sender<Option<DrainSchedule>>,
    /// Set to true once requests may be sent: the settings are known and other daemons were asked for the
    /// quarantines in force.
    pub may_send: watch::Sender<bool>,
    /// Position in the store of the last change; notifies tasks that wait for changes.
    pub changed: watch::Sender<StorePosition>,
    state: Mutex<ForwardState>,
    answer_budget: Mutex<AnswerBudget>,
    /// Memory for bodies of requests and for complete answers.
    pub caller_memory: Arc<CallerMemory>,
}

impl Forwarder {
    /// Creates the context at process start.
    pub fn new(cfg: ForwardConfig) -> Self {
        let metrics = Arc::new(ForwardMetrics::new());
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own = KeyWriter {
            started_unix_ms: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
            boot: rand::random(),
            lease: 0,
        };
        Self {
            boot: own.boot,
            own,
            store: Mutex::new(Store::new(cfg.store.clone())),
            engines: EngineClient::new(),
            caches: CacheStoreClient::new(),
            identities: IdentityClient::new(),
            pool: ConnectionPool::default(),
            peers: PeerClients::default(),
            queues: Queues::default(),
            request_log: Arc::new(RequestLog::new(Instant::now(), metrics.clone())),
            metrics,
            report_due: Notify::new(),
            relay_due: Notify::new(),
            confirming: AsyncMutex::default(),
            receipts: watch::Sender::new(0),
            origins_due: Notify::new(),
            quarantine_changes: watch::Sender::new(0),
            draining: watch::Sender::new(None),
            may_send: watch::Sender::new(false),
            changed: watch::Sender::new(StorePosition::default()),
            state: Mutex::new(ForwardState::new(&cfg, own, Instant::now())),
            answer_budget: Mutex::new(AnswerBudget::new(cfg.max_buffered_answer_bytes)),
            caller_memory: Arc::new(CallerMemory::new(cfg.max_held_bytes)),
            cfg: Mutex::new(Arc::new(cfg)),
        }
    }

    /// Current, validated process settings.
    pub fn cfg(&self) -> Arc<ForwardConfig> {
        lock(&self.cfg).clone()
    }

    /// Memory budget for answers that have not arrived completely.
    pub fn answer_budget(&self) -> MutexGuard<'_, AnswerBudget> {
        lock(&self.answer_budget)
    }

    /// Client for the platform's key-value store.
    pub fn store(&self) -> Store {
        lock(&self.store).clone()
    }

    /// Applies changed process settings. Listen addresses take effect only after a restart.
    pub fn reload(&self, cfg: ForwardConfig) {
        if self.cfg().store != cfg.store {
            *lock(&self.store) = Store::new(cfg.store.clone());
        }
        self.state().set_params(cfg.params.clone());
        *lock(&self.cfg) = Arc::new(cfg);
    }

    /// Locks and returns the shared state.
    pub fn state(&self) -> MutexGuard<'_, ForwardState> {
        lock(&self.state)
    }

    /// Applies changes of the keys that the store told, and notifies waiting tasks if anything
    /// changed.
    pub fn apply(&self, changes: ChangedKeys) {
        self.apply_changes(changes, false);
    }

    /// Applies changes of the store's keys that another daemon told.
    pub fn apply_relayed(&self, changes: ChangedKeys) {
        self.apply_changes(changes, true);
    }

    fn apply_changes(&self, changes: ChangedKeys, is_relayed: bool) {
        let mut state = self.state();
        let is_changed = state.apply(Instant::now(), changes, is_relayed);
        let position = state.view.as_of();
        drop(state);
        if is_changed {
            self.changed.send_replace(position);
        }
    }

    /// Current values of the gauges.
    pub fn gauge_values(&self) -> GaugeValues {
        let queued = self.queues.len();
        let state = self.state();
        GaugeValues {
            held_bytes: self.caller_memory.used_bytes(),
            memory_events: self.caller_memory.events(),
            settings_version: state.settings.version,
            store_age: state.store_age(),
            queued,
            members: state.daemon_count(),
            limited_endpoints: state.endpoints.limited(),
            leaving_endpoints: state.endpoints.unlisted_leaving(),
            paused_endpoints: state.endpoints.paused(Instant::now()),
            known_work_times: state.endpoints.known_work_times(Instant::now()),
            running_rollouts: state.running_rollouts(),
            quarantined_parts: state.quarantine.quarantined(Instant::now()).count(),
        }
    }

    /// Whether the process was asked to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.borrow().is_some()
    }

    /// Begins to drain.
    pub fn drain(&self) {
        let schedule = DrainSchedule::new(Instant::now(), self.cfg().params.grace);
        self.draining.send_replace(Some(schedule));
    }

    /// Whether a request with this target latency is taken: always, unless the daemon drains and
    /// cannot answer it any more.
    pub fn takes(&self, target_latency: Duration) -> bool {
        let schedule = *self.draining.borrow();
        schedule.is_none_or(|schedule| schedule.takes(Instant::now(), target_latency))
    }

    /// Completes when all requests must be answered, since the process is about to end.
    pub async fn must_answer(&self) {
        let schedule = self.drain_schedule().await;
        sleep_until(schedule.answer_by().into()).await;
    }

    /// Completes when the process must end, with some time for the answers after they were due.
    pub async fn must_end(&self) {
        let schedule = self.drain_schedule().await;
        sleep_until(schedule.answer_by().into()).await;
        sleep_until(schedule.end_at(Instant::now()).into()).await;
    }

    /// Waits until the process is asked to stop.
    async fn drain_schedule(&self) -> DrainSchedule {
        let mut draining = self.draining.subscribe();
        // Cannot fail: the sender lives as long as the daemon.
        let schedule = draining.wait_for(Option::is_some).await.ok().and_then(|schedule| *schedule);
        match schedule {
            Some(schedule) => schedule,
            None => pending().await,
        }
    }

    /// Whether the daemon accepts requests: settings are loaded and it is not draining.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.state().is_loaded()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

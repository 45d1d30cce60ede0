use crate::http_server::CallerConnection;
use cassiagw_core::{
    forwarding::{AnswerId, MemoryBudget, MemoryUser, PressureEvent, PressureLog, Shortage},
    ids::{FastMap, WorkspaceId},
};
use serde_json::{Value, json};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    sync::{Notify, Semaphore},
    time::{timeout, timeout_at},
};

/// Refused bodies that are discarded at the same time; the connections of others are closed at once.
const MAX_DISCARDED_BODIES: usize = 64;
/// Interval at which room for answers is looked for: a caller becomes slow without an event.
const ROOM_INTERVAL: Duration = Duration::from_millis(100);

/// Memory budget of a daemon, shared by its tasks.
#[derive(Debug)]
pub struct CallerMemory {
    state: Mutex<State>,
    /// Notified when memory becomes free.
    freed: Notify,
    pub(super) discards: Arc<Semaphore>,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    log: PressureLog,
    /// Connections on which answers are held.
    connections: FastMap<AnswerId, Arc<CallerConnection>>,
}

impl CallerMemory {
    /// Creates an empty budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        let state = State {
            budget: MemoryBudget::new(max_bytes),
            log: PressureLog::default(),
            connections: FastMap::default(),
        };
        Self {
            state: Mutex::new(state),
            freed: Notify::new(),
            discards: Arc::new(Semaphore::new(MAX_DISCARDED_BODIES)),
        }
    }

    /// Counts an event, and logs what happened at most once a minute.
    pub fn record(&self, event: PressureEvent) {
        let report = self.lock().log.on_event(Instant::now(), event);
        let Some(counts) = report else { return };
        log::warn!(
            event = "caller_memory", bodies_refused = counts.bodies_refused,
            answers_refused = counts.answers_refused, bodies_stalled = counts.bodies_stalled,
            readers_closed = counts.readers_closed; "callers reached the memory limits"
        );
    }

    /// Reserves memory for a body that grows.
    ///
    /// # Errors
    /// There is no room.
    pub(super) fn grow_body(
        &self,
        user: &MemoryUser,
        held: usize,
        more: usize,
    ) -> Result<(), Shortage> {
        self.lock().budget.grow_body(user, held, more)
    }

    pub(super) fn release_body(&self, user: &MemoryUser, held: usize) {
        self.lock().budget.release_body(user, held);
        self.freed.notify_waiters();
    }

    /// Reserves memory for a body, waiting for it until `until`.
    ///
    /// # Errors
    /// There was no room in that time.
    pub(super) async fn wait_for_body(
        &self,
        until: Instant,
        mut grow: impl FnMut() -> Result<(), Shortage>,
    ) -> Result<(), Shortage> {
        loop {
            // Notices memory that is freed after the check.
            let freed = self.freed.notified();
            let Err(shortage) = grow() else { return Ok(()) };
            timeout_at(until.into(), freed).await.map_err(|_| shortage)?;
        }
    }

    /// Whether a request may be sent to an endpoint. Closes the connections of slow readers if there
    /// is no room for its answer.
    ///
    /// # Errors
    /// There is no room for it.
    pub fn admit_answer(&self, workspace: &str) -> Result<(), Shortage> {
        loop {
            let admitted = self.lock().budget.admit_answer(workspace);
            let Err(shortage) = admitted else { return Ok(()) };
            if !self.close_slowest(shortage, workspace) {
                return Err(shortage);
            }
        }
    }

    /// Waits while the memory for all answers is taken. A workspace over its own share does not wait.
    pub async fn wait_for_room(&self, workspace: &str) {
        while self.admit_answer(workspace) == Err(Shortage::Total) {
            // Room is looked for again in any case.
            let _ = timeout(ROOM_INTERVAL, self.freed.notified()).await;
        }
    }

    fn close_slowest(&self, shortage: Shortage, workspace: &str) -> bool {
        let connection = {
            let mut state = self.lock();
            let slowest = state.budget.slowest_answer(Instant::now(), shortage, workspace);
            let Some(id) = slowest else { return false };
            state.budget.release_answer(id);
            state.connections.remove(&id)
        };
        if let Some(connection) = connection {
            connection.close();
        }
        self.record(PressureEvent::ReaderClosed);
        true
    }

    pub(super) fn hold_answer(
        &self,
        connection: Arc<CallerConnection>,
        workspace: WorkspaceId,
        bytes: usize,
    ) -> AnswerId {
        let mut state = self.lock();
        let id = state.budget.hold_answer(Instant::now(), workspace, bytes);
        state.connections.insert(id, connection);
        id
    }

    pub(super) fn on_answer_read(&self, id: AnswerId, bytes: usize) {
        self.lock().budget.on_answer_read(Instant::now(), id, bytes);
    }

    pub(super) fn release_answer(&self, id: AnswerId) {
        {
            let mut state = self.lock();
            state.budget.release_answer(id);
            state.connections.remove(&id);
        }
        self.freed.notify_waiters();
    }

    /// Bytes in use, by use.
    pub fn used_bytes(&self) -> [(&'static str, u64); 2] {
        let state = self.lock();
        let (bodies, answers) = (state.budget.body_bytes(), state.budget.answer_bytes());
        [("bodies", bodies as u64), ("answers", answers as u64)]
    }

    /// Numbers of events since the start, by event.
    pub fn events(&self) -> [(&'static str, u64); 4] {
        let counts = self.lock().log.total();
        [
            ("body_refused", counts.bodies_refused),
            ("answer_refused", counts.answers_refused),
            ("body_stalled", counts.bodies_stalled),
            ("reader_closed", counts.readers_closed),
        ]
    }

    /// State as JSON.
    pub fn dump(&self) -> Value {
        let used: FastMap<_, _> = self.used_bytes().into_iter().collect();
        let events: FastMap<_, _> = self.events().into_iter().collect();
        json!({ "used_bytes": used, "events": events })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

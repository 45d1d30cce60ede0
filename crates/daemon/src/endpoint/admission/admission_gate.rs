use super::{Permit, QueuedAttempt};
use crate::config::EndpointConfig;
use cassiagw_core::{
    admission::{
        AdmissionConfig, AdmissionControl, AdmissionRefusal, AdmissionRequest, Decision,
        RampConfig, RequestOutcome,
    },
    ids::{AttemptId, BootId, FastMap},
    routing::EndpointLoad,
    settings::EndpointKind,
};
use cassiagw_rpc::LoadReport;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

/// Limits the requests that run and wait at one endpoint; clones share one state.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    state: Arc<Mutex<State>>,
    /// Notified when the endpoint must be confirmed to be running before more requests start.
    confirmation_notify: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    control: AdmissionControl,
    /// Start notification of each waiting request, by queue ID.
    start_senders: FastMap<AttemptId, oneshot::Sender<()>>,
    endpoint_boot: BootId,
    last_id: AttemptId,
}

impl AdmissionGate {
    /// Starts with the endpoint assumed to be cold.
    pub fn new(cfg: &EndpointConfig) -> Self {
        let ramp = RampConfig {
            cold_limit: cfg.cold_running,
            warm_limit: cfg.max_running,
            ..RampConfig::default()
        };
        let control = AdmissionConfig {
            ramp,
            max_waiting: cfg.max_waiting,
            confirm_after_idle: cfg.kind == EndpointKind::Engine,
            ..AdmissionConfig::default()
        };
        let state = State {
            control: AdmissionControl::new(control, now()),
            start_senders: FastMap::default(),
            endpoint_boot: 0,
            last_id: 0,
        };
        Self { state: Arc::new(Mutex::new(state)), confirmation_notify: Arc::default() }
    }

    /// Queues an attempt.
    ///
    /// # Errors
    /// Returns the reason for the refusal; a refused attempt has not run and will not.
    pub fn enqueue(&self, req: AdmissionRequest) -> Result<QueuedAttempt, AdmissionRefusal> {
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        // An attempt may arrive twice before it is recorded: each arrival has its own queue ID.
        state.last_id += 1;
        let id = state.last_id;
        state.control.enqueue(now(), AdmissionRequest { id, ..req })?;
        state.start_senders.insert(id, tx);
        self.poll_state(&mut state);
        Ok(QueuedAttempt::new(self.clone(), id, rx))
    }

    /// Starts the requests that the limit allows now; the limit can rise with time alone.
    pub fn poll(&self) {
        self.poll_state(&mut self.lock());
    }

    /// Records the boot number that the endpoint reports and returns whether it is new.
    ///
    /// A restarted endpoint is cold.
    pub fn on_endpoint_boot(&self, boot: BootId) -> bool {
        let mut state = self.lock();
        let is_new = state.endpoint_boot != boot;
        // The first boot seen needs no reset: the ramp starts cold.
        if is_new && state.endpoint_boot != 0 {
            state.control.on_cold(now());
        }
        state.endpoint_boot = boot;
        state.control.on_confirmed();
        self.poll_state(&mut state);
        is_new
    }

    /// Waits until the endpoint must be confirmed to be running before more requests start.
    pub async fn confirmation_needed(&self) {
        self.confirmation_notify.notified().await;
    }

    /// Returns the load of the endpoint as counted by this daemon; no credits if `leaving`.
    pub fn report(&self, boot: BootId, leaving: bool) -> LoadReport {
        let state = self.lock();
        let load = state.control.load(now(), boot);
        load_report(load, state.endpoint_boot, leaving)
    }

    /// Returns the number of requests that may run concurrently now.
    pub fn limit(&self) -> u32 {
        self.lock().control.limit(now())
    }

    pub(super) fn on_fetching(&self, id: AttemptId) {
        let mut state = self.lock();
        state.control.on_fetching(id);
        self.poll_state(&mut state);
    }

    pub(super) fn on_fetched(&self, id: AttemptId, tokens: u32) {
        self.lock().control.on_fetched(now(), id, tokens);
    }

    pub(super) fn on_first_token(&self, id: AttemptId) {
        let mut state = self.lock();
        state.control.on_first_token(now(), id);
        self.poll_state(&mut state);
    }

    pub(super) fn on_finished(&self, id: AttemptId, outcome: RequestOutcome) {
        let mut state = self.lock();
        state.control.on_finished(now(), id, outcome);
        self.poll_state(&mut state);
    }

    /// Removes an attempt that still waits; one that was started after its waiter was gone releases
    /// its slot and counts as canceled.
    pub(super) fn on_abandoned(&self, id: AttemptId) {
        let mut state = self.lock();
        state.start_senders.remove(&id);
        if !state.control.cancel_waiting(id) {
            state.control.on_finished(now(), id, RequestOutcome::Cancelled);
        }
        self.poll_state(&mut state);
    }

    pub(super) fn permit(&self, id: AttemptId) -> Permit {
        Permit::new(self.clone(), id)
    }

    fn poll_state(&self, state: &mut State) {
        state.poll();
        if state.control.needs_confirmation(now()) {
            self.confirmation_notify.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn poll(&mut self) {
        for decision in self.control.poll(now()) {
            let (Decision::Start(id) | Decision::Expire(id)) = decision;
            // Dropping the sender of an expired attempt ends its wait.
            let tx = self.start_senders.remove(&id);
            if let (Decision::Start(_), Some(tx)) = (decision, tx) {
                // If the waiter is gone, dropping its `QueuedAttempt` releases the slot.
                let _ = tx.send(());
            }
        }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

fn load_report(load: EndpointLoad, endpoint_boot: BootId, leaving: bool) -> LoadReport {
    LoadReport {
        boot: load.boot,
        endpoint_boot,
        running: load.running,
        waiting: load.waiting,
        waiting_tokens: load.waiting_tokens,
        credits: if leaving { 0 } else { load.credits },
        prefill_per_token: load.prefill_per_token,
        expected_wait: load.expected_wait,
        warmth_permille: load.warmth_permille,
        leaving,
    }
}

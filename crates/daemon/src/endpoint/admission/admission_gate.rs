use super::{Permit, Place};
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

/// Bound on what runs and waits at one endpoint; clones share one state.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    state: Arc<Mutex<State>>,
    /// Told when the endpoint must be confirmed before more starts.
    doubt: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    control: AdmissionControl,
    /// Who waits for the start of which place.
    starts: FastMap<AttemptId, oneshot::Sender<()>>,
    endpoint_boot: BootId,
    places: AttemptId,
}

impl AdmissionGate {
    /// Starts before an endpoint that is taken to be cold.
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
            starts: FastMap::default(),
            endpoint_boot: 0,
            places: 0,
        };
        Self { state: Arc::new(Mutex::new(state)), doubt: Arc::default() }
    }

    /// Takes a place in the queue.
    ///
    /// # Errors
    /// A refused attempt has not started and will not.
    pub fn enter(&self, ticket: AdmissionRequest) -> Result<Place, AdmissionRefusal> {
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        // An attempt may arrive twice before it is known; each arrival has a place of its own.
        state.places += 1;
        let id = state.places;
        state.control.enqueue(now(), AdmissionRequest { id, ..ticket })?;
        state.starts.insert(id, tx);
        self.poll_state(&mut state);
        Ok(Place::new(self.clone(), id, rx))
    }

    /// Starts what may start by now. Time alone can raise the limit.
    pub fn poll(&self) {
        self.poll_state(&mut self.lock());
    }

    /// Notes the boot that the endpoint reports; a new one is cold.
    pub fn on_endpoint_boot(&self, boot: BootId) -> bool {
        let mut state = self.lock();
        let is_new = state.endpoint_boot != boot;
        // The first boot that is seen is the one that the ramp started with.
        if is_new && state.endpoint_boot != 0 {
            state.control.on_cold(now());
        }
        state.endpoint_boot = boot;
        state.control.on_confirmed();
        self.poll_state(&mut state);
        is_new
    }

    /// Waits until the endpoint must be confirmed before more starts.
    pub async fn doubted(&self) {
        self.doubt.notified().await;
    }

    /// Load of the endpoint as the daemon counts it.
    pub fn report(&self, boot: BootId, leaving: bool) -> LoadReport {
        let state = self.lock();
        let load = state.control.load(now(), boot);
        report_of(load, state.endpoint_boot, leaving)
    }

    /// Concurrent requests that the endpoint may run now.
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

    pub(super) fn on_finished(&self, id: AttemptId, finished: RequestOutcome) {
        let mut state = self.lock();
        state.control.on_finished(now(), id, finished);
        self.poll_state(&mut state);
    }

    /// Gives up a place: the attempt still waits, or it was started and nobody took the start.
    pub(super) fn on_abandoned(&self, id: AttemptId) {
        let mut state = self.lock();
        state.starts.remove(&id);
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
            self.doubt.notify_one();
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
            // An expired place's sender is dropped, which ends its wait.
            let tx = self.starts.remove(&id);
            if let (Decision::Start(_), Some(tx)) = (decision, tx) {
                // The place gives the slot back if nobody waits any more.
                let _ = tx.send(());
            }
        }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

fn report_of(load: EndpointLoad, endpoint_boot: BootId, leaving: bool) -> LoadReport {
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

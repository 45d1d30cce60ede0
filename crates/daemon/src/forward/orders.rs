use super::{
    boot_clock::boot_time,
    forward_state::{HolderValue, OutdatedModel},
    forwarder::Forwarder,
    notices::apply_notice,
    peers::{apply_engine_news, broadcast_engine_news},
    rollout_leader::RolloutLeader,
};
use cassiagw_core::{
    forwarding::{
        LeaseStep, OrderLease, OrderOutcome, StorePosition, WeightOrder, WeightRollout, WeightStep,
    },
    ids::{EndpointId, FastMap, ModelId, stable_hash},
};
use cassiagw_platform::{EngineReport, LeaseId, OrderCall, StoreError, order_lease_key};
use cassiagw_rpc::EngineUpdate;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// TTL of the order lease without renewal.
const LEASE_TTL: Duration = Duration::from_millis(2_400);
/// Polling interval while some engine has outdated weights or the order lease is held.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum interval between checks while all engines are up to date and the lease is not held.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum random delay before the lease is acquired, so that usually only one daemon tries.
const MAX_ACQUIRE_DELAY_MS: u64 = 120;
/// Time for which an engine gets no requests after an order, unless it is reported ready earlier.
/// It is renewed while the engine still carries out the order, and ends by itself if the daemon that
/// gave the order has stopped.
const ORDERED_BACKOFF: Duration = Duration::from_millis(2_500);
/// Interval between two renewals of that time.
const BACKOFF_RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Result of a call to an engine.
enum CallResult {
    Read { model: ModelId, engine: EndpointId, report: Option<EngineReport> },
    Ordered { order: WeightOrder, fence: u64, outcome: OrderOutcome, cause: String },
}

/// Orders engines to load the newest weights while this daemon holds the order lease.
pub struct OrderTask {
    fw: Arc<Forwarder>,
    order_lease: OrderLease,
    store_lease: Option<LeaseId>,
    /// Where the key was written under that lease.
    written_at: StorePosition,
    /// Era of the store that the lease is of.
    era: u64,
    rollouts: FastMap<ModelId, WeightRollout>,
    last_order: Option<Instant>,
    /// When the other daemons were last told which engines carry out orders.
    backoffs_renewed: Instant,
    calls: JoinSet<CallResult>,
    /// Rollouts of services, whose steps the holder of the lease decides, too.
    rollout_leader: RolloutLeader,
}

impl OrderTask {
    /// Creates the task, without the lease.
    pub fn new(fw: Arc<Forwarder>) -> Self {
        Self {
            rollout_leader: RolloutLeader::new(fw.clone()),
            fw,
            order_lease: OrderLease::new(LEASE_TTL),
            store_lease: None,
            written_at: StorePosition::default(),
            era: 0,
            rollouts: FastMap::default(),
            last_order: None,
            backoffs_renewed: Instant::now(),
            calls: JoinSet::new(),
        }
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        let mut changed = self.fw.changed.subscribe();
        loop {
            let outdated = self.fw.state().outdated_models(Instant::now());
            let is_needed =
                !outdated.is_empty() || self.fw.state().rollouts_need_leader(Instant::now());
            let is_idle = !self.order_lease.is_held() && self.rollout_leader.is_idle();
            if !is_needed && is_idle {
                self.rollouts.clear();
                // A timeout means that there was no change.
                let _ = timeout(IDLE_POLL_INTERVAL, changed.changed()).await;
                continue;
            }
            self.maintain_lease(is_needed).await;
            self.run_due_steps(&outdated);
            self.renew_backoffs();
            if let Some(fence) = self.order_lease.fence(boot_time()) {
                self.rollout_leader.run_due_steps(fence);
            }
            tokio::select! {
                Some(result) = self.calls.join_next(), if !self.calls.is_empty() => {
                    if let Ok(result) = result {
                        self.on_result(result).await;
                    }
                }
                () = self.rollout_leader.join_next(), if !self.rollout_leader.is_idle() => {}
                () = sleep(POLL_INTERVAL) => {}
            }
        }
    }

    /// Acquires, renews or releases the order lease as needed.
    async fn maintain_lease(&mut self, is_needed: bool) {
        self.check_era();
        self.check_key();
        let idle_limit = self.fw.cfg().params.order_lease;
        let is_idle = self.last_order.is_none_or(|at| at.elapsed() > idle_limit);
        if !is_needed && is_idle {
            return self.release_lease().await;
        }
        let is_held_by_other = {
            let state = self.fw.state();
            state.order_holder.as_ref().is_some_and(|holder| *holder != self.fw.cfg().name)
        };
        match self.order_lease.step(boot_time(), is_held_by_other) {
            LeaseStep::Wait(_) => {}
            LeaseStep::Acquire if self.fw.is_draining() => {}
            LeaseStep::Acquire => self.acquire_lease().await,
            LeaseStep::Renew => self.renew_lease().await,
        }
    }

    /// Gives up the lease if the store came back from a copy.
    fn check_era(&mut self) {
        let era = self.fw.state().view.as_of().era;
        if era == self.era {
            return;
        }
        if self.era != 0 {
            log::info!(event = "order_right_lost", fence = self.written_at.fence(), era; "the store came back from a copy");
            self.store_lease = None;
            self.order_lease.on_store_restored(boot_time());
        }
        self.era = era;
    }

    /// Gives up the lease if its key has ended or was replaced.
    fn check_key(&mut self) {
        let Some(lease) = self.store_lease.filter(|_| self.order_lease.is_held()) else { return };
        if self.fw.state().has_lost_order_key(self.written_at, lease) {
            log::warn!(event = "order_right_lost", fence = self.written_at.fence(), lease; "the key is gone or was replaced");
            self.store_lease = None;
            self.order_lease.on_lost(boot_time());
        }
    }

    async fn acquire_lease(&mut self) {
        let hash = stable_hash(self.fw.cfg().name.as_bytes()) ^ self.fw.boot;
        sleep(Duration::from_millis(hash % MAX_ACQUIRE_DELAY_MS)).await;
        let Some(expected) = self.fw.state().free_order_key(self.fw.boot) else { return };
        let sent_at = boot_time();
        let result = self.write_holder(expected).await;
        self.fw.metrics.count_store_call("take_right", result.is_ok());
        match result {
            Ok((lease, written_at)) => {
                let fence = written_at.fence();
                log::info!(event = "order_right_taken", fence, lease; "");
                self.store_lease = Some(lease);
                self.written_at = written_at;
                self.order_lease.on_granted(sent_at, fence);
            }
            Err(error) => {
                log::info!(event = "order_right_not_taken", error:% = error; "");
                self.order_lease.on_lost(boot_time());
            }
        }
    }

    /// Writes the holder key under a new lease; `expected` is its revision, 0 without one. Returns the
    /// lease and the position of the key.
    async fn write_holder(&self, expected: u64) -> Result<(LeaseId, StorePosition), StoreError> {
        let lease = self.fw.store().grant(LEASE_TTL).await?.id;
        let result = self.put_holder(lease, expected).await;
        if let Err(StoreError::Unanswered(_) | StoreError::TimedOut) = result {
            // A write under a lease that has ended has no effect, however late it arrives.
            let ended = self.fw.store().end(lease).await;
            log::info!(event = "order_right_unanswered", lease, ended = ended.is_ok(); "");
        }
        Ok((lease, result?))
    }

    /// Writes the holder key under a lease. If the response is lost, reads the key back to find out
    /// whether the write took effect; the lease in its value tells it from earlier writes.
    async fn put_holder(&self, lease: LeaseId, expected: u64) -> Result<StorePosition, StoreError> {
        let store = self.fw.store();
        let value = HolderValue { daemon: self.fw.cfg().name.clone(), boot: self.fw.boot, lease };
        let bytes = serde_json::to_vec(&value).expect("a holder value serializes to JSON");
        match store.put(order_lease_key(), &bytes, lease, Some(expected)).await {
            Err(error @ (StoreError::Unanswered(_) | StoreError::TimedOut)) => {
                let item = store.get(order_lease_key()).await;
                item.ok()
                    .filter(|item| item.value == bytes)
                    .map(|item| item.written_at)
                    .ok_or(error)
            }
            result => result,
        }
    }

    async fn renew_lease(&mut self) {
        let Some(lease) = self.store_lease else { return };
        let sent_at = boot_time();
        let result = self.fw.store().renew(lease).await;
        self.fw.metrics.count_store_call("renew_right", result.is_ok());
        match result {
            Ok(()) => self.order_lease.on_granted(sent_at, self.written_at.fence()),
            Err(StoreError::NotFound) => {
                log::info!(event = "order_right_lost", fence = self.written_at.fence(); "the lease expired");
                self.order_lease.on_lost(boot_time());
            }
            Err(error) => {
                log::info!(event = "order_right_not_renewed", error:% = error; "");
                self.order_lease.on_unanswered(boot_time());
            }
        }
    }

    async fn release_lease(&mut self) {
        let Some(lease) = self.store_lease.take() else {
            return self.order_lease.on_lost(boot_time());
        };
        self.order_lease.on_lost(boot_time());
        let result = self.fw.store().end(lease).await;
        self.fw.metrics.count_store_call("end_right", result.is_ok());
        log::info!(event = "order_right_given_back", fence = self.written_at.fence(), ok = result.is_ok(); "");
    }

    /// Starts the rollout steps that are due.
    fn run_due_steps(&mut self, outdated: &[OutdatedModel]) {
        let Some(fence) = self.order_lease.fence(boot_time()) else { return };
        let now = Instant::now();
        for OutdatedModel { model, target_version, engines } in outdated {
            let rollout = self.rollouts.entry(model.clone()).or_default();
            for step in rollout.step(now, model, *target_version, engines) {
                match step {
                    WeightStep::Read(engine) => self.start_read(model.clone(), engine),
                    WeightStep::Order(order) => self.start_order(order, fence),
                }
            }
        }
    }

    /// Tells all daemons which engines still carry out orders, so that they send nothing there that
    /// would be refused.
    fn renew_backoffs(&mut self) {
        let now = Instant::now();
        let is_due = now.saturating_duration_since(self.backoffs_renewed) >= BACKOFF_RENEW_INTERVAL;
        if !is_due || self.order_lease.fence(boot_time()).is_none() {
            return;
        }
        self.backoffs_renewed = now;
        let running = |(model, rollout): (&ModelId, &WeightRollout)| {
            let engines = rollout.running(now).cloned();
            engines.map(|engine| (model.clone(), engine)).collect::<Vec<_>>()
        };
        let busy: Vec<(ModelId, EndpointId)> = self.rollouts.iter().flat_map(running).collect();
        self.publish_busy(&busy);
    }

    /// Tells all daemons that engines accept no requests for a while.
    fn publish_busy(&self, engines: &[(ModelId, EndpointId)]) {
        if engines.is_empty() {
            return;
        }
        let update = |(model, engine): &(ModelId, EndpointId)| EngineUpdate {
            engine: engine.clone(),
            model: model.clone(),
            version: 0,
            busy_for: ORDERED_BACKOFF,
        };
        let updates: Vec<EngineUpdate> = engines.iter().map(update).collect();
        apply_engine_news(&self.fw, &updates);
        broadcast_engine_news(&self.fw, &updates);
    }

    fn start_read(&mut self, model: ModelId, engine: EndpointId) {
        let address = {
            let endpoints = &mut self.fw.state().endpoints;
            let address = endpoints.entry(&engine).map(|entry| entry.address);
            address.filter(|_| endpoints.take_control_call(Instant::now(), &engine))
        };
        let Some(address) = address else { return };
        let engines = self.fw.engines.clone();
        self.calls.spawn(async move {
            let report = engines.report(address).await;
            let report = report
                .inspect_err(|error| log::debug!(event = "engine_not_read", error:% = error; ""))
                .ok();
            CallResult::Read { model, engine, report }
        });
    }

    fn start_order(&mut self, order: WeightOrder, fence: u64) {
        let entry = self.fw.state().endpoints.entry(&order.engine).cloned();
        let Some(entry) = entry else { return };
        if !self.fw.state().endpoints.take_control_call(Instant::now(), &order.engine) {
            if let Some(rollout) = self.rollouts.get_mut(&order.model) {
                rollout.on_outcome(Instant::now(), &order.engine, OrderOutcome::Refused);
            }
            return;
        }
        self.last_order = Some(Instant::now());
        self.publish_engine_state(&order.engine, &order.model, 0, ORDERED_BACKOFF);
        let engines = self.fw.engines.clone();
        let holder = self.fw.cfg().name.clone();
        self.calls.spawn(async move {
            let call = OrderCall { order: &order, holder: &holder, fence };
            let (outcome, cause) = engines.order(entry.address, &call).await;
            CallResult::Ordered { order, fence, outcome, cause }
        });
    }

    async fn on_result(&mut self, result: CallResult) {
        let now = Instant::now();
        match result {
            CallResult::Ordered { order, fence, outcome, cause } => {
                log::info!(
                    event = "engine_order", engine:% = order.engine, model:% = order.model,
                    version = order.version, expected:? = order.expected, fence,
                    mode = order.mode.name(), outcome:? = outcome, cause:% = cause; ""
                );
                self.fw.metrics.count_order(outcome_name(outcome));
                if matches!(outcome, OrderOutcome::Refused | OrderOutcome::OldFence) {
                    self.publish_engine_state(&order.engine, &order.model, 0, Duration::ZERO);
                }
                if let Some(rollout) = self.rollouts.get_mut(&order.model) {
                    rollout.on_outcome(now, &order.engine, outcome);
                }
                if outcome == OrderOutcome::OldFence {
                    log::warn!(event = "order_right_superseded", fence; "");
                    self.release_lease().await;
                }
            }
            CallResult::Read { report: None, .. } => {}
            CallResult::Read { model, engine, report: Some(report) } => {
                self.apply_notice(&engine, &report);
                let version = report.weights.iter().find(|(name, _)| *name == model);
                let version = version.map_or(0, |(_, version)| *version);
                let known_version =
                    self.fw.state().endpoints.entry(&engine).and_then(|e| e.version_of(&model));
                if known_version.is_some_and(|known_version| version > known_version)
                    && !report.is_busy
                {
                    log::info!(event = "engine_has_weights", engine:% = engine, model:% = model, version; "");
                    self.publish_engine_state(&engine, &model, version, Duration::ZERO);
                }
                if let Some(rollout) = self.rollouts.get_mut(&model) {
                    rollout.on_read(now, &engine, report.is_busy, report.accepted_orders);
                }
            }
        }
    }

    /// Applies what the boot of an engine that is listed says in its report.
    fn apply_notice(&self, engine: &EndpointId, report: &EngineReport) {
        let entry = self.fw.state().endpoints.entry(engine).cloned();
        let entry = entry.filter(|entry| entry.started_unix_ms == report.started_unix_ms);
        if let Some(entry) = entry {
            apply_notice(&self.fw, &entry, report.notice, "report");
        }
    }

    /// Applies the state of an engine locally and broadcasts it to the other daemons. Version 0
    /// leaves the known weight version unchanged; a `busy_for` of zero ends the backoff.
    fn publish_engine_state(
        &self,
        engine: &EndpointId,
        model: &ModelId,
        version: u64,
        busy_for: Duration,
    ) {
        let updates =
            [EngineUpdate { engine: engine.clone(), model: model.clone(), version, busy_for }];
        apply_engine_news(&self.fw, &updates);
        broadcast_engine_news(&self.fw, &updates);
    }
}

fn outcome_name(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::Holds => "holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::OldFence => "old_fence",
        OrderOutcome::Refused => "refused",
        OrderOutcome::Unknown => "unknown",
    }
}

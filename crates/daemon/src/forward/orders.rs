use super::{
    boot_clock::boot_time,
    forward_state::{HolderValue, ModelBehind},
    forwarder::Forward,
    peers::{take_engine_news, tell_engine_news},
};
use cassiagw_core::{
    forwarding::{LeaseStep, OrderLease, OrderOutcome, RolloutStep, WeightOrder, WeightRollout},
    ids::{EndpointId, FastMap, ModelId, stable_hash},
};
use cassiagw_platform::{EngineReport, OrderCall, StoreError, order_lease_key};
use cassiagw_rpc::EngineNews;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// TTL of the order lease without renewal.
const LEASE: Duration = Duration::from_millis(2_400);
/// Polling interval while some engine has outdated weights.
const TICK: Duration = Duration::from_millis(40);
/// Maximum interval between checks while all engines are up to date.
const IDLE_TICK: Duration = Duration::from_secs(5);
/// Maximum random delay before the lease is acquired, so that usually only one daemon tries.
const MAX_TAKE_PAUSE_MS: u64 = 120;
/// Time for which an engine gets no requests after an order, unless it is reported ready earlier.
const ORDERED_REST: Duration = Duration::from_millis(2_500);

/// Result of a call to an engine.
enum Done {
    Read { model: ModelId, engine: EndpointId, report: Option<EngineReport> },
    Ordered { order: WeightOrder, fence: u64, outcome: OrderOutcome, cause: String },
}

/// Orders engines to load the newest weights while this daemon holds the order lease.
pub struct OrderTask {
    fw: Arc<Forward>,
    holder: OrderLease,
    lease: Option<u64>,
    fence: u64,
    rollouts: FastMap<ModelId, WeightRollout>,
    last_order: Option<Instant>,
    calls: JoinSet<Done>,
}

impl OrderTask {
    /// Creates the task, without the lease.
    pub fn new(fw: Arc<Forward>) -> Self {
        Self {
            fw,
            holder: OrderLease::new(LEASE),
            lease: None,
            fence: 0,
            rollouts: FastMap::default(),
            last_order: None,
            calls: JoinSet::new(),
        }
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        let mut changed = self.fw.changed.subscribe();
        loop {
            let behind = self.fw.state().models_behind();
            if behind.is_empty() && !self.holder.is_held() {
                self.rollouts.clear();
                // A timeout means that there was no change.
                let _ = timeout(IDLE_TICK, changed.changed()).await;
                continue;
            }
            self.keep_right(!behind.is_empty()).await;
            self.advance(&behind);
            tokio::select! {
                Some(done) = self.calls.join_next(), if !self.calls.is_empty() => {
                    if let Ok(done) = done {
                        self.take(done).await;
                    }
                }
                () = sleep(TICK) => {}
            }
        }
    }

    /// Acquires, renews or releases the order lease as needed.
    async fn keep_right(&mut self, is_wanted: bool) {
        let order_lease = self.fw.cfg().params.order_lease;
        let is_quiet = self.last_order.is_none_or(|at| at.elapsed() > order_lease);
        if !is_wanted && is_quiet {
            return self.give_back().await;
        }
        let is_taken = {
            let state = self.fw.state();
            state.holder.as_ref().is_some_and(|holder| *holder != self.fw.cfg().name)
        };
        match self.holder.step(boot_time(), is_taken) {
            LeaseStep::Wait(_) => {}
            LeaseStep::Acquire if self.fw.is_draining() => {}
            LeaseStep::Acquire => self.take_right().await,
            LeaseStep::Renew => self.renew().await,
        }
    }

    async fn take_right(&mut self) {
        let spread = stable_hash(self.fw.cfg().name.as_bytes()) ^ self.fw.boot;
        sleep(Duration::from_millis(spread % MAX_TAKE_PAUSE_MS)).await;
        if self.fw.state().holder.is_some() {
            return;
        }
        let sent = boot_time();
        let result = self.write_holder().await;
        self.fw.metrics.count_store_call("take_right", result.is_ok());
        match result {
            Ok((lease, fence)) => {
                log::info!(event = "order_right_taken", fence, lease; "");
                self.lease = Some(lease);
                self.fence = fence;
                self.holder.on_granted(sent, fence);
            }
            Err(error) => {
                log::info!(event = "order_right_not_taken", error:% = error; "");
                self.holder.on_lost(boot_time());
            }
        }
    }

    /// Writes the holder key under a new lease. If the response is lost, reads the key back to find
    /// out whether the write took effect. Returns the lease and the fencing token.
    async fn write_holder(&self) -> Result<(u64, u64), StoreError> {
        let store = self.fw.store();
        let value = HolderValue { daemon: self.fw.cfg().name.clone(), boot: self.fw.boot };
        let bytes = serde_json::to_vec(&value).expect("a name and a number have a JSON form");
        let lease = store.grant(LEASE).await?;
        match store.put(order_lease_key(), &bytes, lease, true).await {
            Ok(revision) => Ok((lease, revision)),
            Err(StoreError::Unanswered(cause)) => {
                let item = store.get(order_lease_key()).await?;
                match item.value == bytes {
                    true => Ok((lease, item.revision)),
                    false => Err(StoreError::Unanswered(cause)),
                }
            }
            Err(error) => Err(error),
        }
    }

    async fn renew(&mut self) {
        let Some(lease) = self.lease else { return };
        let sent = boot_time();
        let result = self.fw.store().renew(lease).await;
        self.fw.metrics.count_store_call("renew_right", result.is_ok());
        match result {
            Ok(()) => self.holder.on_granted(sent, self.fence),
            Err(StoreError::NotFound) => {
                log::info!(event = "order_right_lost", fence = self.fence; "the lease has ended");
                self.holder.on_lost(boot_time());
            }
            Err(error) => {
                log::info!(event = "order_right_not_renewed", error:% = error; "");
                self.holder.on_unanswered(boot_time());
            }
        }
    }

    async fn give_back(&mut self) {
        let Some(lease) = self.lease.take() else { return self.holder.on_lost(boot_time()) };
        self.holder.on_lost(boot_time());
        let result = self.fw.store().end(lease).await;
        self.fw.metrics.count_store_call("end_right", result.is_ok());
        log::info!(event = "order_right_given_back", fence = self.fence, ok = result.is_ok(); "");
    }

    /// Starts the rollout steps that are due.
    fn advance(&mut self, behind: &[ModelBehind]) {
        let Some(fence) = self.holder.fence(boot_time()) else { return };
        let now = Instant::now();
        for ModelBehind { model, wanted, engines } in behind {
            let rollout = self.rollouts.entry(model.clone()).or_default();
            for step in rollout.step(now, model, *wanted, engines) {
                match step {
                    RolloutStep::Read(engine) => self.read(model.clone(), engine),
                    RolloutStep::Order(order) => self.order(order, fence),
                }
            }
        }
    }

    fn read(&mut self, model: ModelId, engine: EndpointId) {
        let Some(address) = self.fw.state().endpoints.entry(&engine).map(|entry| entry.address)
        else {
            return;
        };
        let engines = self.fw.engines.clone();
        self.calls.spawn(async move {
            let report = engines.report(address).await;
            let report = report
                .inspect_err(|error| log::debug!(event = "engine_not_read", error:% = error; ""))
                .ok();
            Done::Read { model, engine, report }
        });
    }

    fn order(&mut self, order: WeightOrder, fence: u64) {
        let entry = self.fw.state().endpoints.entry(&order.engine).cloned();
        let Some(entry) = entry else { return };
        self.last_order = Some(Instant::now());
        self.spread_news(&order.engine, &order.model, 0, ORDERED_REST);
        let engines = self.fw.engines.clone();
        let holder = self.fw.cfg().name.clone();
        self.calls.spawn(async move {
            let call = OrderCall { order: &order, holder: &holder, fence };
            let (outcome, cause) = engines.order(entry.address, &call).await;
            Done::Ordered { order, fence, outcome, cause }
        });
    }

    async fn take(&mut self, done: Done) {
        let now = Instant::now();
        match done {
            Done::Ordered { order, fence, outcome, cause } => {
                log::info!(
                    event = "engine_order", engine:% = order.engine, model:% = order.model,
                    version = order.version, expected:? = order.expected, fence,
                    outcome:? = outcome, cause:% = cause; ""
                );
                self.fw.metrics.count_order(outcome_name(outcome));
                if matches!(outcome, OrderOutcome::Refused | OrderOutcome::OldFence) {
                    self.spread_news(&order.engine, &order.model, 0, Duration::ZERO);
                }
                if let Some(rollout) = self.rollouts.get_mut(&order.model) {
                    rollout.on_outcome(now, &order.engine, outcome);
                }
                if outcome == OrderOutcome::OldFence {
                    log::warn!(event = "order_right_superseded", fence; "");
                    self.give_back().await;
                }
            }
            Done::Read { report: None, .. } => {}
            Done::Read { model, engine, report: Some(report) } => {
                let version = report.weights.iter().find(|(name, _)| *name == model);
                let version = version.map_or(0, |(_, version)| *version);
                let known =
                    self.fw.state().endpoints.entry(&engine).and_then(|e| e.version_of(&model));
                if known.is_some_and(|known| version > known) && !report.is_busy {
                    log::info!(event = "engine_has_weights", engine:% = engine, model:% = model, version; "");
                    self.spread_news(&engine, &model, version, Duration::ZERO);
                }
                if let Some(rollout) = self.rollouts.get_mut(&model) {
                    rollout.on_read(now, &engine, report.is_busy, report.accepted_orders);
                }
            }
        }
    }

    fn spread_news(&self, engine: &EndpointId, model: &ModelId, version: u64, busy_for: Duration) {
        let news = [EngineNews { engine: engine.clone(), model: model.clone(), version, busy_for }];
        take_engine_news(&self.fw, &news);
        tell_engine_news(&self.fw, &news);
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

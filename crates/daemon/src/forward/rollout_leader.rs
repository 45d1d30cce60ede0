//! Steps of rollouts, which the daemon with the order lease decides and writes to the store.

use super::{
    forward_state::{OutdatedRollout, StoreLink},
    forwarder::Forwarder,
    rollout_log::log_step,
};
use cassiagw_core::{
    forwarding::{RolloutPhase, RolloutReason, RolloutRecord, RolloutStep, StorePosition},
    ids::{FastMap, ServiceId},
};
use cassiagw_platform::{
    StoreError, encode_rollout_status, rollout_record_key, rollout_status_key,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep};

/// Pause after a write that failed, in which the view of the store catches up.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time in which a record that was written normally arrives from the store.
const ARRIVAL_TIME: Duration = Duration::from_secs(1);
/// Interval between checks for bad versions while the store is unreachable.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(100);

/// A record written to the store, and the result.
struct Written {
    service: ServiceId,
    record: RolloutRecord,
    result: Result<StorePosition, StoreError>,
}

/// Moves rollouts from phase to phase while this daemon holds the order lease.
pub struct RolloutLeader {
    fw: Arc<Forwarder>,
    writes: JoinSet<Written>,
    /// Services for which no new record is written now, and why.
    held: FastMap<ServiceId, Hold>,
}

/// Why no record of a service is written.
#[derive(Clone, Copy, Debug)]
enum Hold {
    /// A write is under way.
    Writing,
    /// A write has failed; until this time.
    Failed(Instant),
    /// A write has succeeded and is not in the view yet; until this time at most.
    Arriving(StorePosition, Instant),
}

impl RolloutLeader {
    /// Creates the state without rollouts.
    pub fn new(fw: Arc<Forwarder>) -> Self {
        Self { fw, writes: JoinSet::new(), held: FastMap::default() }
    }

    /// Whether no write is under way.
    pub fn is_idle(&self) -> bool {
        self.writes.is_empty()
    }

    /// Decides and starts the steps that are due. `fence` is the fencing number of the order lease.
    pub fn run_due_steps(&mut self, fence: u64) {
        let now = Instant::now();
        let services: Vec<ServiceId> = self.fw.state().endpoints.rollouts.keys().cloned().collect();
        for service in services {
            if self.is_held(now, &service) {
                continue;
            }
            match next_step(&self.fw, now, &service, fence) {
                Some(step) => self.take_step(service, step),
                None => self.repair(service, fence),
            }
        }
    }

    fn is_held(&mut self, now: Instant, service: &ServiceId) -> bool {
        let is_held = match self.held.get(service) {
            None => false,
            Some(Hold::Writing) => true,
            Some(Hold::Failed(until)) => now < *until,
            Some(Hold::Arriving(position, until)) => {
                now < *until && self.fw.state().view.as_of() < *position
            }
        };
        if !is_held {
            self.held.remove(service);
        }
        is_held
    }

    fn take_step(&mut self, service: ServiceId, mut step: RolloutStep) {
        go_on_with_order(&self.fw, &service, &mut step);
        step.record.old_started_by = old_started_by(&self.fw, &service, &step.record);
        record_step(&self.fw, &service, &step);
        if step.record.phase == RolloutPhase::RolledBack {
            hold_at_once(&self.fw, &service, &step.record);
        }
        self.start_write(service, step.record);
    }

    /// Writes what holds here if the store shows something else, as after it came back from a copy.
    fn repair(&mut self, service: ServiceId, fence: u64) {
        let outdated = self.fw.state().outdated_rollouts();
        let outdated = outdated.into_iter().find(|outdated| outdated.service == service);
        let Some(OutdatedRollout { service, record }) = outdated else { return };
        log::info!(
            event = "rollout_repaired", service:% = service, phase = record.phase.name(),
            target:% = record.target, fence; "the store shows another record or status"
        );
        self.start_write(service, RolloutRecord { fence, ..record });
    }

    fn start_write(&mut self, service: ServiceId, record: RolloutRecord) {
        self.held.insert(service.clone(), Hold::Writing);
        let fw = self.fw.clone();
        let revision = fw.state().rollout_revision(&service);
        self.writes.spawn(async move {
            let result = write(&fw, &service, &record, revision).await;
            Written { service, record, result }
        });
    }

    /// Applies the result of the next write that ends.
    pub async fn join_next(&mut self) {
        let written = match self.writes.join_next().await {
            Some(Ok(written)) => written,
            Some(Err(error)) => {
                // It is not known for which service; writes that still run are compared by the store.
                log::error!(event = "rollout_write_failed", error:% = error; "");
                return self.held.clear();
            }
            None => return self.held.clear(),
        };
        let Written { service, record, result } = written;
        let now = Instant::now();
        self.fw.metrics.count_store_call("rollout", result.is_ok());
        match result {
            Ok(position) => {
                self.held.insert(service.clone(), Hold::Arriving(position, now + ARRIVAL_TIME));
                log::info!(
                    event = "rollout_written", service:% = service, phase = record.phase.name(),
                    revision:% = position; ""
                );
                apply_record(&self.fw, &service, record);
            }
            Err(error) => {
                self.held.insert(service.clone(), Hold::Failed(now + RETRY_PAUSE));
                log::info!(
                    event = "rollout_not_written", service:% = service,
                    phase = record.phase.name(), error:% = error; ""
                );
            }
        }
    }
}

/// Goes on in the phase reached if an order is not new: it was written again after the store came
/// back from a copy without it. Otherwise a version that was rolled back would be tried once more.
fn go_on_with_order(fw: &Forwarder, service: &ServiceId, step: &mut RolloutStep) {
    let state = fw.state();
    let known = state.endpoints.rollouts.get(service).and_then(|rollout| rollout.record());
    let known = known.filter(|known| known.target == step.record.target);
    let is_written_again = state.is_written_again(service, step.record.order);
    if let Some(known) =
        known.filter(|_| is_written_again && step.reason == RolloutReason::NewOrder)
    {
        step.record.phase = known.phase;
        step.record.base = known.base.clone();
        step.record.closed = known.closed.clone();
        step.reason = RolloutReason::NotStored;
    }
}

/// Records a step for operators.
fn record_step(fw: &Forwarder, service: &ServiceId, step: &RolloutStep) {
    log_step(service, step);
    fw.metrics.count_rollout_step(step);
    let reason = (step.record.phase, step.reason);
    fw.state().rollout_reasons.insert(service.clone(), reason);
}

/// Latest process start of an endpoint when the last rollout of a service completed.
fn old_started_by(fw: &Forwarder, service: &ServiceId, record: &RolloutRecord) -> Option<u64> {
    let state = fw.state();
    let known = state.endpoints.rollouts.get(service)?.record();
    let is_completed = |record: &RolloutRecord| record.phase == RolloutPhase::Completed;
    match is_completed(record) && !known.is_some_and(is_completed) {
        true => state.latest_start(service),
        false => known?.old_started_by,
    }
}

/// Writes the record of a rollout and its status in one change, if the record has this revision. If
/// the answer is lost, reads the record back to find out whether the write took effect.
async fn write(
    fw: &Forwarder,
    service: &ServiceId,
    record: &RolloutRecord,
    revision: u64,
) -> Result<StorePosition, StoreError> {
    let store = fw.store();
    let (key, status_key) = (rollout_record_key(service), rollout_status_key(service));
    let value = serde_json::to_vec(record).expect("a record serializes to JSON");
    let status = encode_rollout_status(record.phase, &record.target);
    let values = [(&*key, &*value), (&*status_key, &*status)];
    match store.put_all(&values, (&key, revision)).await {
        Err(error @ (StoreError::Unanswered(_) | StoreError::TimedOut)) => {
            let item = store.get(&key).await?;
            if item.value == value { Ok(item.written_at) } else { Err(error) }
        }
        result => result,
    }
}

fn next_step(fw: &Forwarder, now: Instant, service: &ServiceId, fence: u64) -> Option<RolloutStep> {
    let state = fw.state();
    let inputs = state.rollout_inputs(now, service, fence);
    state.endpoints.rollouts.get(service)?.next_step(now, &inputs)
}

fn apply_record(fw: &Forwarder, service: &ServiceId, record: RolloutRecord) {
    if let Some(rollout) = fw.state().endpoints.rollouts.get_mut(service) {
        rollout.on_record(Instant::now(), record);
    }
    fw.report_due.notify_one();
    fw.queues.wake();
}

/// Applies a record that holds before it is written, and tells it to all daemons.
fn hold_at_once(fw: &Forwarder, service: &ServiceId, record: &RolloutRecord) {
    let now = Instant::now();
    let is_news = fw
        .state()
        .endpoints
        .rollouts
        .get_mut(service)
        .is_some_and(|rollout| rollout.on_decision(now, record));
    if is_news {
        log::warn!(
            event = "rollout_rolled_back", service:% = service, target:% = record.target,
            order:% = record.order; ""
        );
    }
    fw.report_due.notify_one();
    fw.queues.wake();
}

/// Rolls back bad versions while the store is away, when no daemon can hold the order lease, until
/// the future is dropped. The holder of the lease writes the record once the store is back.
pub async fn suspect_versions(fw: Arc<Forwarder>) {
    loop {
        sleep(SUSPICION_INTERVAL).await;
        let is_away = matches!(fw.state().store_link, StoreLink::Lost(_));
        if is_away && fw.state().running_rollouts() > 0 {
            roll_back_bad_versions(&fw);
        }
    }
}

fn roll_back_bad_versions(fw: &Forwarder) {
    let now = Instant::now();
    let services: Vec<ServiceId> = fw.state().endpoints.rollouts.keys().cloned().collect();
    for service in services {
        // 0: this daemon does not hold the order lease.
        let step = next_step(fw, now, &service, 0);
        let is_bad = |step: &RolloutStep| {
            step.record.phase == RolloutPhase::RolledBack
                && step.reason == RolloutReason::BadAnswers
        };
        if let Some(step) = step.filter(is_bad) {
            record_step(fw, &service, &step);
            hold_at_once(fw, &service, &step.record);
        }
    }
}

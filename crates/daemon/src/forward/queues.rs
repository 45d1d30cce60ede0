use super::{
    call::Call,
    forwarder::Forwarder,
    placement::{PlaceResult, try_place},
    quarantine::kept_away,
    request_record::Decision,
};
use cassiagw_core::{
    forwarding::{CallQueue, Waiter, WaiterId},
    ids::{EndpointId, FastMap, ServiceId},
};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    sync::{Notify, oneshot},
    time::{sleep, sleep_until, timeout},
};

/// Interval at which queued requests are tried again without a notification.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between two passes over the queues, so that notifications are batched.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// A pass over a queue ends after this many requests for which no engine has capacity.
const MAX_MISSES: usize = 4;
/// Time before its deadline at which a queued request is refused, so that the caller still learns
/// that it was not executed.
const REFUSAL_MARGIN: Duration = Duration::from_millis(60);
/// Fraction of the target latency, as a divisor, for which a request without a prompt may wait for
/// capacity, and any request for the end of pauses.
const WAIT_DIVISOR: u32 = 4;
/// Maximum pause between tries of a request without a prompt.
const MAX_PLAIN_PAUSE: Duration = Duration::from_millis(40);

/// A queued request and the channel for its placement.
struct QueuedCall {
    call: Arc<Call>,
    tried: Vec<EndpointId>,
    tx: oneshot::Sender<PlaceResult>,
}

#[derive(Default)]
struct ServiceQueue {
    order: CallQueue,
    calls: FastMap<WaiterId, QueuedCall>,
}

/// Queues of requests that wait for capacity at engines, by service.
#[derive(Default)]
pub struct Queues {
    by_service: Mutex<FastMap<ServiceId, ServiceQueue>>,
    capacity_freed: Notify,
}

impl Queues {
    /// Notifies the queue task that capacity may be available.
    pub fn wake(&self) {
        self.capacity_freed.notify_one();
    }

    /// Total number of queued requests, for the metrics and the queue task.
    pub fn len(&self) -> usize {
        self.lock().values().map(|queue| queue.order.len()).sum()
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServiceId, ServiceQueue>> {
        self.by_service.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn remove(&self, service: &ServiceId, id: WaiterId) {
        if let Some(queue) = self.lock().get_mut(service) {
            queue.order.remove(id);
            queue.calls.remove(&id);
        }
    }
}

/// Removes a waiter from its queue when the waiting future ends or is dropped.
struct WaiterGuard<'a> {
    fw: &'a Forwarder,
    service: &'a ServiceId,
    id: WaiterId,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.fw.queues.remove(self.service, self.id);
    }
}

/// Places a call on an endpoint that is not in `tried`. Waits for capacity if it is likely to be
/// available in time.
pub async fn place(fw: &Arc<Forwarder>, call: &Arc<Call>, tried: &[EndpointId]) -> PlaceResult {
    match call.head.prompt {
        Some(_) => place_prompt(fw, call, tried).await,
        None => place_plain(fw, call, tried).await,
    }
}

async fn place_plain(fw: &Arc<Forwarder>, call: &Arc<Call>, tried: &[EndpointId]) -> PlaceResult {
    loop {
        let placed = try_place(fw, &mut fw.state(), call, tried);
        match placed {
            PlaceResult::Busy(wait) | PlaceResult::Paused(wait) if may_wait(call, wait) => {
                sleep(wait.min(MAX_PLAIN_PAUSE)).await;
            }
            placed => return placed,
        }
    }
}

/// Whether a request may wait for this time instead of being refused. A stream that has begun may
/// wait as long as it has time: a late continuation is better than a truncated stream.
fn may_wait(call: &Call, wait: Duration) -> bool {
    let short = call.arrival + call.route.target_latency / WAIT_DIVISOR;
    let has_started = call.record.has_response_started();
    let wait_until = if has_started { call.deadline } else { short.min(call.deadline) };
    Instant::now() + wait < wait_until
}

async fn place_prompt(fw: &Arc<Forwarder>, call: &Arc<Call>, tried: &[EndpointId]) -> PlaceResult {
    let service = &call.service.name;
    let is_queue_empty = fw.queues.lock().get(service).is_none_or(|queue| queue.order.is_empty());
    // A request that is kept away is refused at once.
    let is_kept_away = kept_away(&fw.state(), Instant::now(), call).is_some();
    if is_queue_empty || is_kept_away {
        match try_place(fw, &mut fw.state(), call, tried) {
            PlaceResult::Busy(_) | PlaceResult::Paused(_) => {}
            placed => return placed,
        }
    }
    let pause_left = fw.state().endpoints.pause_left(Instant::now(), service, tried);
    if let Some(left) = pause_left.filter(|left| !may_wait(call, *left)) {
        return PlaceResult::Paused(left);
    }
    let tokens = call.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
    let load = fw.state().endpoints.load(Instant::now(), service, tokens);
    let waiter = waiter(call, load.prefill_time(tokens));
    let rate = load.tokens_per_ms / fw.state().daemon_count() as f64;
    let rx = {
        let mut queues = fw.queues.lock();
        let queue = queues.entry(service.clone()).or_default();
        let now = Instant::now();
        // If the response has already started, a late continuation is better than a truncated
        // stream.
        if !call.record.has_response_started() && !queue.order.can_serve(now, &waiter, rate) {
            let wait = queue.order.wait(now, &waiter, rate);
            let ahead = queue.order.len();
            call.record.add_decision(Decision::NoRoomInTime { ahead, wait });
            return PlaceResult::Busy(wait);
        }
        let (tx, rx) = oneshot::channel();
        call.record.add_decision(Decision::Queued { ahead: queue.order.len() });
        queue.order.push(waiter);
        let queued = QueuedCall { call: call.clone(), tried: tried.to_vec(), tx };
        queue.calls.insert(waiter.id, queued);
        rx
    };
    fw.queues.wake();
    let _guard = WaiterGuard { fw, service, id: waiter.id };
    let refuse_at = waiter.deadline.checked_sub(REFUSAL_MARGIN).unwrap_or(call.arrival);
    let queued_at = Instant::now();
    let placed = tokio::select! {
        placed = rx => placed.unwrap_or(PlaceResult::NoEndpoint),
        () = sleep_until(refuse_at.into()) => PlaceResult::Busy(RETRY_INTERVAL),
    };
    fw.metrics.record_queue_time(call.route.kind, queued_at.elapsed());
    placed
}

fn waiter(call: &Call, prefill_time: Duration) -> Waiter {
    let prompt = call.head.prompt.as_ref();
    let minus_prefill = |at: Instant| at.checked_sub(prefill_time).unwrap_or(call.arrival);
    Waiter {
        id: rand::random(),
        priority: call.priority(),
        start_by: minus_prefill(call.arrival + call.route.target_latency),
        deadline: minus_prefill(call.caller_timeout_at()),
        work_tokens: prompt.map_or(0, |prompt| prompt.tokens),
    }
}

/// Places queued requests until the future is dropped.
pub async fn serve_queues(fw: Arc<Forwarder>) {
    loop {
        let is_idle = fw.queues.len() == 0;
        match is_idle {
            true => fw.queues.capacity_freed.notified().await,
            // A timeout means that there was no notification.
            false => drop(timeout(RETRY_INTERVAL, fw.queues.capacity_freed.notified()).await),
        }
        if fw.queues.len() > 0 {
            place_waiting(&fw);
            sleep(BATCH_DELAY).await;
        }
    }
}

fn place_waiting(fw: &Arc<Forwarder>) {
    let mut queues = fw.queues.lock();
    let mut state = fw.state();
    let mut undelivered = Vec::new();
    for queue in queues.values_mut() {
        let mut misses = 0;
        for id in queue.order.serving_order(Instant::now()) {
            let Some(queued) = queue.calls.get(&id) else { continue };
            let placed = try_place(fw, &mut state, &queued.call, &queued.tried);
            let has_to_wait = match placed {
                PlaceResult::Busy(_) => true,
                PlaceResult::Paused(left) => may_wait(&queued.call, left),
                _ => false,
            };
            if has_to_wait {
                misses += 1;
                if misses >= MAX_MISSES {
                    break;
                }
                continue;
            }
            queue.order.remove(id);
            if let Some(queued) = queue.calls.remove(&id) {
                undelivered.extend(queued.tx.send(placed).err());
            }
        }
    }
    // Dropping a placement whose caller has just left locks the state, so both locks must be
    // released first.
    drop(state);
    drop(queues);
    drop(undelivered);
}

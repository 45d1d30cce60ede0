use super::{
    call::Call,
    forwarder::Forward,
    placement::{Placed, place_now},
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
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between two passes over the queues, so that notifications are batched.
const GATHER: Duration = Duration::from_millis(2);
/// Number of requests without capacity after which a pass over a queue ends.
const MAX_MISSES: usize = 4;
/// Time before its deadline at which a queued request is refused, so that the caller still learns
/// that it was not executed.
const REFUSE_BEFORE: Duration = Duration::from_millis(60);
/// Fraction of the target latency, as a divisor, for which a request without a prompt may wait for
/// capacity.
const PLAIN_WAIT_DIVISOR: u32 = 4;
/// Maximum pause between tries of a request without a prompt.
const MAX_PLAIN_STEP: Duration = Duration::from_millis(40);

/// A queued request and the channel for its placement.
struct Waiting {
    call: Arc<Call>,
    tried: Vec<EndpointId>,
    tx: oneshot::Sender<Placed>,
}

#[derive(Default)]
struct ServiceQueue {
    order: CallQueue,
    waiting: FastMap<WaiterId, Waiting>,
}

/// Queues of requests that wait for capacity at engines, by service.
#[derive(Default)]
pub struct Queues {
    by_service: Mutex<FastMap<ServiceId, ServiceQueue>>,
    room: Notify,
}

impl Queues {
    /// Notifies the queue task that capacity may be available.
    pub fn wake(&self) {
        self.room.notify_one();
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
            queue.waiting.remove(&id);
        }
    }
}

/// Removes a waiter from its queue when the waiting future ends or is dropped.
struct WaiterGuard<'a> {
    fw: &'a Forward,
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
pub async fn place(fw: &Arc<Forward>, call: &Arc<Call>, tried: &[EndpointId]) -> Placed {
    match call.head.prompt {
        Some(_) => place_at_engine(fw, call, tried).await,
        None => place_at_plain(fw, call, tried).await,
    }
}

async fn place_at_plain(fw: &Arc<Forward>, call: &Arc<Call>, tried: &[EndpointId]) -> Placed {
    let wait_until = call.arrival + call.route.target_latency / PLAIN_WAIT_DIVISOR;
    loop {
        let placed = place_now(fw, &mut fw.state(), call, tried);
        match placed {
            Placed::Busy(wait) if Instant::now() + wait < wait_until.min(call.deadline) => {
                sleep(wait.min(MAX_PLAIN_STEP)).await;
            }
            placed => return placed,
        }
    }
}

async fn place_at_engine(fw: &Arc<Forward>, call: &Arc<Call>, tried: &[EndpointId]) -> Placed {
    let service = &call.service.name;
    let is_free = fw.queues.lock().get(service).is_none_or(|queue| queue.order.is_empty());
    if is_free {
        match place_now(fw, &mut fw.state(), call, tried) {
            Placed::Busy(_) => {}
            placed => return placed,
        }
    }
    let load = fw.state().endpoints.load(service);
    let tokens = call.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
    let waiter = waiter(call, load.prefill_time(tokens));
    let rate = load.tokens_per_ms / fw.state().daemons() as f64;
    let rx = {
        let mut queues = fw.queues.lock();
        let queue = queues.entry(service.clone()).or_default();
        let now = Instant::now();
        // If the response has already started, a late continuation is better than a truncated
        // stream.
        if !call.record.has_answered() && !queue.order.can_serve(now, &waiter, rate) {
            let wait = queue.order.wait(now, &waiter, rate);
            let ahead = queue.order.len();
            call.record.decided(Decision::NoRoomInTime { ahead, wait });
            return Placed::Busy(wait);
        }
        let (tx, rx) = oneshot::channel();
        call.record.decided(Decision::Queued { ahead: queue.order.len() });
        queue.order.push(waiter);
        let waiting = Waiting { call: call.clone(), tried: tried.to_vec(), tx };
        queue.waiting.insert(waiter.id, waiting);
        rx
    };
    fw.queues.wake();
    let _guard = WaiterGuard { fw, service, id: waiter.id };
    let last = waiter.deadline.checked_sub(REFUSE_BEFORE).unwrap_or(call.arrival);
    let since = Instant::now();
    let placed = tokio::select! {
        placed = rx => placed.unwrap_or(Placed::Nowhere),
        () = sleep_until(last.into()) => Placed::Busy(LOOK_INTERVAL),
    };
    fw.metrics.record_wait(call.route.kind, since.elapsed());
    placed
}

fn waiter(call: &Call, reading: Duration) -> Waiter {
    let prompt = call.head.prompt.as_ref();
    let before = |at: Instant| at.checked_sub(reading).unwrap_or(call.arrival);
    Waiter {
        id: rand::random(),
        priority: call.rank(),
        start_by: before(call.arrival + call.route.target_latency),
        deadline: before(call.left_at()),
        work_tokens: prompt.map_or(0, |prompt| prompt.tokens),
    }
}

/// Places queued requests until the future is dropped.
pub async fn serve_queues(fw: Arc<Forward>) {
    loop {
        let is_idle = fw.queues.len() == 0;
        match is_idle {
            true => fw.queues.room.notified().await,
            // A timeout means that there was no notification.
            false => drop(timeout(LOOK_INTERVAL, fw.queues.room.notified()).await),
        }
        if fw.queues.len() > 0 {
            place_waiting(&fw);
            sleep(GATHER).await;
        }
    }
}

fn place_waiting(fw: &Arc<Forward>) {
    let mut queues = fw.queues.lock();
    let mut state = fw.state();
    let mut undelivered = Vec::new();
    for queue in queues.values_mut() {
        let mut misses = 0;
        for id in queue.order.serving_order(Instant::now()) {
            let Some(waiting) = queue.waiting.get(&id) else { continue };
            let placed = place_now(fw, &mut state, &waiting.call, &waiting.tried);
            if let Placed::Busy(_) = placed {
                misses += 1;
                if misses >= MAX_MISSES {
                    break;
                }
                continue;
            }
            queue.order.remove(id);
            if let Some(waiting) = queue.waiting.remove(&id) {
                undelivered.extend(waiting.tx.send(placed).err());
            }
        }
    }
    // Dropping a placement whose caller has just left locks the state, so both locks must be
    // released first.
    drop(state);
    drop(queues);
    drop(undelivered);
}

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

/// Time after which waiting requests are looked at though nothing was heard.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between two looks, in which what was heard gathers.
const GATHER: Duration = Duration::from_millis(2);
/// Requests in a row that find no room before a look ends.
const MAX_MISSES: usize = 4;
/// Time before its deadline at which a waiting request is told that it did not run.
const REFUSE_BEFORE: Duration = Duration::from_millis(60);
/// Part of the target latency that a plain request may wait for room, as a divisor.
const PLAIN_WAIT_DIVISOR: u32 = 4;
/// Longest single wait for room at a plain service.
const MAX_PLAIN_STEP: Duration = Duration::from_millis(40);

/// A request that waits, and where it hears of its place.
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

/// Requests that wait for room at engines, by service.
#[derive(Default)]
pub struct Queues {
    by_service: Mutex<FastMap<ServiceId, ServiceQueue>>,
    room: Notify,
}

impl Queues {
    /// Takes note that there may be room.
    pub fn wake(&self) {
        self.room.notify_one();
    }

    /// Requests that wait, for the dump.
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

/// Takes a waiter out of its queue when its caller leaves.
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

/// Gives a call a place at an endpoint that was not tried, waiting for room if that is worth it.
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
        // The caller of an answer that has begun is better served late than not to its end.
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

/// Gives waiting requests their places, until the future is dropped.
pub async fn serve_queues(fw: Arc<Forward>) {
    loop {
        let is_idle = fw.queues.len() == 0;
        match is_idle {
            true => fw.queues.room.notified().await,
            // A timeout only means that nothing was heard.
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
    // A place whose caller has just left gives itself back, for which the state must be free.
    drop(state);
    drop(queues);
    drop(undelivered);
}

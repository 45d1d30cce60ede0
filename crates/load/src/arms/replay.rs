use super::{ArmOutcome, RequestResult};
use crate::trace::{Arrival, Trace};
use std::future::Future;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

/// Replays a trace in an open loop: sends each arrival at its scheduled time, regardless of the
/// state of earlier requests, and waits until all of them have ended.
pub async fn replay_trace<F>(
    trace: &Trace,
    start: Instant,
    send: impl Fn(Arrival) -> F,
) -> ArmOutcome
where
    F: Future<Output = RequestResult> + Send + 'static,
{
    let mut running = JoinSet::new();
    for arrival in &trace.arrivals {
        let due = start + arrival.at;
        sleep_until(due).await;
        let send_delay = due.elapsed();
        let sent = send(arrival.clone());
        let arrival = arrival.clone();
        running.spawn(async move { (arrival, sent.await, send_delay) });
    }
    ArmOutcome { results: running.join_all().await }
}

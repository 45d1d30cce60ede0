use super::{ArmOutcome, Seen};
use crate::trace::{Arrival, Trace};
use std::future::Future;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

/// Replays a trace in an open loop: sends each arrival at its scheduled time, regardless of the
/// state of earlier requests, and waits until all of them have ended.
pub async fn drive<F>(trace: &Trace, start: Instant, send: impl Fn(Arrival) -> F) -> ArmOutcome
where
    F: Future<Output = Seen> + Send + 'static,
{
    let mut running = JoinSet::new();
    for arrival in &trace.arrivals {
        let due = start + arrival.at;
        sleep_until(due).await;
        let late = due.elapsed();
        let sent = send(arrival.clone());
        let arrival = arrival.clone();
        running.spawn(async move { (arrival, sent.await, late) });
    }
    ArmOutcome { seen: running.join_all().await }
}

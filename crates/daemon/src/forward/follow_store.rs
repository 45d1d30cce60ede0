use super::forwarder::Forward;
use cassiagw_core::forwarding::{ChangedKeys, StoreCall, StoreCallScheduler, StoreOutcome};
use cassiagw_platform::StoreError;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Long-poll timeout of a watch. A store that stops responding is detected soon after it.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);

/// Keeps the local view of the store up to date until the future is dropped.
pub async fn follow_store(fw: Arc<Forward>) {
    let mut scheduler = StoreCallScheduler::default();
    // A stale read is applied only together with the changes since its revision.
    let mut stale = None;
    loop {
        let call = scheduler.next();
        let result = match call {
            StoreCall::ReadAllStale => fw.store().read_all(true).await,
            StoreCall::ReadAll => fw.store().read_all(false).await,
            StoreCall::CatchUp => catch_up(&fw, &stale).await,
            StoreCall::Watch => watch(&fw).await,
        };
        fw.metrics.count_store_call(call.name(), result.is_ok());
        let outcome = match result {
            Ok(changes) if call == StoreCall::ReadAllStale => {
                stale = Some(changes);
                StoreOutcome::Answered
            }
            Ok(changes) => {
                stale.take().into_iter().chain([changes]).for_each(|changes| fw.apply(changes));
                // Must follow `apply`: it uses the previous link state to judge whether a change is
                // recent.
                fw.state().set_link(Instant::now(), true);
                StoreOutcome::Answered
            }
            Err(error) => note_failure(&fw, call, &error),
        };
        if outcome == StoreOutcome::HistoryGone {
            stale = None;
        }
        let daemons = fw.state().daemons();
        sleep(scheduler.on_outcome(outcome, daemons, rand::random())).await;
    }
}

fn note_failure(fw: &Forward, call: StoreCall, error: &StoreError) -> StoreOutcome {
    if *error == StoreError::Compacted {
        log::info!(event = "store_history_gone"; "reading every key");
        return StoreOutcome::HistoryGone;
    }
    fw.state().set_link(Instant::now(), false);
    log::info!(event = "store_call_failed", call = call.name(), error:% = error; "");
    match error {
        StoreError::RateLimited => StoreOutcome::RateLimited,
        _ => StoreOutcome::Failed,
    }
}

async fn catch_up(fw: &Forward, stale: &Option<ChangedKeys>) -> Result<ChangedKeys, StoreError> {
    let read = stale.as_ref().map_or(0, |read| read.as_of);
    fw.store().watch(read, Duration::ZERO).await
}

async fn watch(fw: &Forward) -> Result<ChangedKeys, StoreError> {
    let revision = fw.state().view.as_of();
    fw.store().watch(revision, WATCH_WAIT).await
}

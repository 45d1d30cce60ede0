use super::{boot_clock::boot_time, forwarder::Forwarder};
use cassiagw_core::forwarding::{ChangedKeys, StoreCall, StoreCallScheduler, StoreOutcome};
use cassiagw_platform::StoreError;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Long-poll timeout of a watch. A store that stops responding is detected soon after it. The view stays
/// current from the beginning of one watch to the end of the next.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Keeps the local view of the store up to date until the future is dropped.
pub async fn follow_store(fw: Arc<Forwarder>) {
    let mut scheduler = StoreCallScheduler::default();
    // A stale read is applied only together with the changes since its revision.
    let mut stale_read = None;
    loop {
        let call = scheduler.next();
        let (called_at, called_at_boot) = (Instant::now(), boot_time());
        let result = match call {
            StoreCall::ReadAllStale => fw.store().read_all(true).await,
            StoreCall::ReadAll => fw.store().read_all(false).await,
            StoreCall::CatchUp => catch_up(&fw, &stale_read).await,
            StoreCall::Watch => watch(&fw).await,
        };
        fw.metrics.count_store_call(call.name(), result.is_ok());
        let outcome = match result {
            Ok(changes) if call == StoreCall::ReadAllStale => {
                stale_read = Some(changes);
                StoreOutcome::Answered
            }
            Ok(changes) if !continues(&fw, stale_read.as_ref(), &changes) => {
                log::warn!(
                    event = "store_restored", as_of:% = changes.as_of,
                    known:% = fw.state().view.as_of(); "the store came back from a copy; reading all keys"
                );
                StoreOutcome::HistoryGone
            }
            Ok(changes) => {
                let changes = stale_read.take().into_iter().chain([changes]);
                changes.for_each(|changes| fw.apply(changes));
                // Must follow `apply`: it uses the previous link state to judge whether a change is
                // recent.
                fw.state().on_store_answer(Instant::now(), called_at_boot);
                StoreOutcome::Answered
            }
            Err(error) => record_failure(&fw, call, called_at, &error),
        };
        if outcome == StoreOutcome::HistoryGone {
            stale_read = None;
        }
        let (daemons, pace) = {
            let state = fw.state();
            (state.daemon_count(), state.watch_pace())
        };
        sleep(scheduler.on_outcome(outcome, daemons, pace, rand::random())).await;
    }
}

/// Whether changes continue what was read before, so that they can be applied.
fn continues(fw: &Forwarder, stale_read: Option<&ChangedKeys>, changes: &ChangedKeys) -> bool {
    match stale_read {
        Some(read) => read.as_of.era == changes.as_of.era,
        None => fw.state().view.accepts(changes),
    }
}

fn record_failure(
    fw: &Forwarder,
    call: StoreCall,
    called_at: Instant,
    error: &StoreError,
) -> StoreOutcome {
    if matches!(error, StoreError::Compacted | StoreError::Restored) {
        log::info!(event = "store_history_gone", error:% = error; "reading all keys");
        return StoreOutcome::HistoryGone;
    }
    let now = Instant::now();
    let silent_since = if *error == StoreError::TimedOut { called_at } else { now };
    fw.state().on_store_failure(now, silent_since);
    log::info!(event = "store_call_failed", call = call.name(), error:% = error; "");
    match error {
        StoreError::RateLimited => StoreOutcome::RateLimited,
        _ => StoreOutcome::Failed,
    }
}

async fn catch_up(
    fw: &Forwarder,
    stale_read: &Option<ChangedKeys>,
) -> Result<ChangedKeys, StoreError> {
    let read = stale_read.as_ref().map(|read| read.as_of).unwrap_or_default();
    fw.store().watch(read, Duration::ZERO).await
}

async fn watch(fw: &Forwarder) -> Result<ChangedKeys, StoreError> {
    let position = fw.state().view.as_of();
    fw.store().watch(position, WATCH_TIMEOUT).await
}

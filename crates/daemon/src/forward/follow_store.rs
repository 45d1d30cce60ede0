use super::forwarder::Forward;
use cassiagw_core::forwarding::ChangedKeys;
use cassiagw_platform::StoreError;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Longest wait of one watch; a store that falls silent is noticed after little more.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two watches, in which changes gather.
const GATHER: Duration = Duration::from_millis(10);

/// Keeps the view of the store's keys up to date until the future is dropped.
pub async fn follow_store(fw: Arc<Forward>) {
    let mut must_read_all = true;
    loop {
        let call = if must_read_all { "read_all" } else { "watch" };
        let result = match must_read_all {
            true => fw.store().read_all().await,
            false => watch(&fw).await,
        };
        fw.metrics.count_store_call(call, result.is_ok());
        match result {
            Ok(changes) => {
                must_read_all = false;
                // Whether changes are news depends on whether the store answered before.
                fw.apply(changes);
                fw.state().set_link(Instant::now(), true);
                sleep(GATHER).await;
            }
            Err(StoreError::Compacted) => {
                log::info!(event = "store_history_gone"; "reading every key");
                must_read_all = true;
            }
            Err(error) => {
                fw.state().set_link(Instant::now(), false);
                log::info!(event = "store_call_failed", call, error:% = error; "");
                // Keys may have lapsed while the store was away.
                must_read_all = true;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn watch(fw: &Forward) -> Result<ChangedKeys, StoreError> {
    let revision = fw.state().view.as_of();
    fw.store().watch(revision, WATCH_WAIT).await
}

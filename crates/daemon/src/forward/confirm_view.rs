//! Proves at a request's arrival that the view contains all that the store or the other daemons know.

use super::{
    boot_clock::boot_time, forward_state::StoreLink, forwarder::Forwarder,
    request_record::display_or_none,
};
use cassiagw_core::forwarding::BootTime;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Timeout of the store's answer, also of a slow store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the other daemons' answers.
const DAEMONS_TIMEOUT: Duration = Duration::from_millis(250);

/// Tries to prove that the view contains all that was known at `since`: by the store or, if that does not
/// answer, by all other daemons.
pub async fn confirm_view(fw: &Forwarder, since: BootTime) {
    // The state tells whether either was in time.
    if may_answer(fw) {
        let _ = timeout(STORE_TIMEOUT, read_store(fw, since)).await;
    }
    if !fw.state().is_view_complete_since(since) {
        let _ = timeout(DAEMONS_TIMEOUT, hear_from_all(fw, since)).await;
    }
    let state = fw.state();
    if !state.is_view_complete_since(since) {
        let store_age_ms = state.store_age().map(|age| age.as_millis());
        log::info!(
            event = "view_not_confirmed", as_of:% = state.view.as_of(),
            store_age_ms:% = display_or_none(store_age_ms); ""
        );
    }
}

/// Whether the store may answer: it has not failed lately, or not been heard yet.
fn may_answer(fw: &Forwarder) -> bool {
    let state = fw.state();
    matches!(state.store_link, StoreLink::Connected(_)) || state.store_age().is_none()
}

/// Reads what has changed in the store. One read serves all requests that wait for it.
async fn read_store(fw: &Forwarder, since: BootTime) {
    let _turn = fw.confirming.lock().await;
    if fw.state().is_view_complete_since(since) {
        return;
    }
    let called_at = boot_time();
    let position = fw.state().view.as_of();
    let result = fw.store().watch(position, Duration::ZERO).await;
    fw.metrics.count_store_call("confirm", result.is_ok());
    match result {
        Ok(changes) if fw.state().view.accepts(&changes) => {
            fw.apply(changes);
            fw.state().on_store_answer(Instant::now(), called_at);
        }
        // The task that follows the store reads all keys.
        Ok(changes) => log::info!(event = "confirm_of_other_era", as_of:% = changes.as_of; ""),
        Err(error) => {
            log::info!(event = "store_call_failed", call = "confirm", error:% = error; "");
        }
    }
}

/// Reports to all other daemons and waits until their answers prove it.
async fn hear_from_all(fw: &Forwarder, since: BootTime) {
    let mut receipts = fw.receipts.subscribe();
    fw.report_due.notify_one();
    while !fw.state().is_view_complete_since(since) {
        // Cannot fail: the sender lives as long as the daemon.
        let _ = receipts.changed().await;
    }
}

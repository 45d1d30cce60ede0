use super::{forward_state::MemberValue, forwarder::Forwarder};
use cassiagw_core::forwarding::StorePosition;
use cassiagw_platform::{StoreError, member_key};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// TTL of the member lease. A daemon that does not renew it in time is no longer a member.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Interval between lease renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Pause for each daemon before all register again, so that they stay within the store's rate
/// limit: each makes two writes.
const REGISTER_PAUSE_PER_DAEMON: Duration = Duration::from_millis(10);

/// Keeps this daemon registered as a member in the store until the future is dropped.
pub async fn maintain_membership(fw: Arc<Forwarder>) {
    let mut changed = fw.changed.subscribe();
    let mut era = changed.borrow_and_update().era;
    let mut lease = None;
    loop {
        let result = match lease {
            None => register(&fw).await.map(|granted| lease = Some(granted)),
            Some(granted) => fw.store().renew(granted).await,
        };
        fw.metrics.count_store_call("member", result.is_ok());
        let pause = match result {
            Ok(()) => RENEW_INTERVAL,
            Err(StoreError::NotFound) => {
                lease = None;
                Duration::ZERO
            }
            Err(error) => {
                log::debug!(event = "member_not_renewed", error:% = error; "");
                RETRY_PAUSE
            }
        };
        let Some(later_era) = later_era(&mut changed, era, pause).await else { continue };
        if era != 0 {
            // The store came back from a copy, which may know of no lease.
            lease = None;
            sleep(register_pause(&fw)).await;
        }
        era = later_era;
    }
}

/// Waits for another era of the store, for at most `limit`.
async fn later_era(
    changed: &mut watch::Receiver<StorePosition>,
    era: u64,
    limit: Duration,
) -> Option<u64> {
    let later = timeout(limit, changed.wait_for(|position| position.era != era)).await;
    // The sender lives as long as the daemon.
    later.ok()?.ok().map(|position| position.era)
}

fn register_pause(fw: &Forwarder) -> Duration {
    let daemons = u32::try_from(fw.state().daemon_count()).unwrap_or(u32::MAX);
    REGISTER_PAUSE_PER_DAEMON.saturating_mul(daemons).mul_f64(rand::random())
}

async fn register(fw: &Forwarder) -> Result<u64, StoreError> {
    let lease = fw.store().grant(LEASE_TTL).await?;
    let value = MemberValue { peer: fw.cfg().peer, zone: fw.cfg().zone.clone() };
    let value = serde_json::to_vec(&value).expect("a member value serializes to JSON");
    fw.store().put(&member_key(&fw.cfg().name), &value, lease, None).await?;
    log::info!(event = "registered", daemon:% = fw.cfg().name, lease; "");
    Ok(lease)
}

use super::{forward_state::MemberValue, forwarder::Forwarder};
use cassiagw_platform::{StoreError, member_key};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// TTL of the member lease. A daemon that does not renew it in time is no longer a member.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Interval between lease renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Keeps this daemon registered as a member in the store until the future is dropped.
pub async fn maintain_membership(fw: Arc<Forwarder>) {
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
        sleep(pause).await;
    }
}

async fn register(fw: &Forwarder) -> Result<u64, StoreError> {
    let lease = fw.store().grant(LEASE_TTL).await?;
    let value = MemberValue { peer: fw.cfg().peer, zone: fw.cfg().zone.clone() };
    let value = serde_json::to_vec(&value).expect("a member value serializes to JSON");
    fw.store().put(&member_key(&fw.cfg().name), &value, lease, false).await?;
    log::info!(event = "registered", daemon:% = fw.cfg().name, lease; "");
    Ok(lease)
}

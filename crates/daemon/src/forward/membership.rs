use super::{boot_clock::boot_time, forward_state::MemberValue, forwarder::Forwarder};
use cassiagw_core::forwarding::{BootTime, HeldKey, KeySight, KeyStep};
use cassiagw_platform::{LeaseId, StoreError, member_key};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::timeout;

/// TTL of the member lease. A daemon that does not renew it in time is no longer a member.
const LEASE_TTL: Duration = Duration::from_secs(6);

/// Keeps this daemon registered as a member in the store until the future is dropped.
pub async fn maintain_membership(fw: Arc<Forwarder>) {
    let mut changed = fw.changed.subscribe();
    let mut key = HeldKey::new(fw.own, LEASE_TTL);
    loop {
        changed.borrow_and_update();
        check_key(&fw, &mut key);
        let sent = boot_time();
        let result = match key.step(sent) {
            KeyStep::Wait(until) => {
                // A timeout means that there was no change.
                let _ = timeout(until.saturating_sub(sent), changed.changed()).await;
                continue;
            }
            KeyStep::Grant => grant(&fw, &mut key, sent).await,
            KeyStep::Write(lease) => write(&fw, &mut key, lease).await,
            KeyStep::Renew(lease) => renew(&fw, &mut key, lease, sent).await,
        };
        fw.metrics.count_store_call("member", result.is_ok());
        if let Err(error) = result {
            log::debug!(event = "member_call_failed", error:% = error; "");
            on_failed(&fw, &mut key, &error);
        }
    }
}

/// Compares this daemon's key with what the view of the store shows.
fn check_key(fw: &Forwarder, key: &mut HeldKey) {
    let view = fw.state().member_view();
    let was_held = key.is_held();
    let sight = key.on_view(boot_time(), &view, |is_whole| fw.state().register_pause(is_whole));
    match sight {
        KeySight::Taken(newer) => {
            log::warn!(event = "name_taken", daemon:% = fw.state().name(), boot = format!("{:016x}", newer.boot); "a newer process has the same name; registering under another one");
            fw.state().leave_name(Instant::now());
            *key = HeldKey::new(fw.own, LEASE_TTL);
        }
        KeySight::Missing | KeySight::Replaced(_) | KeySight::Restored if was_held => {
            log::warn!(event = "member_key_lost", daemon:% = fw.state().name(), as_of:% = view.as_of, cause:? = sight; "");
        }
        _ => {}
    }
    fw.state().set_registered(key.is_held());
}

async fn grant(fw: &Forwarder, key: &mut HeldKey, sent: BootTime) -> Result<(), StoreError> {
    let lease = fw.store().grant(LEASE_TTL).await?;
    key.on_granted(sent, lease.id, lease.era);
    Ok(())
}

async fn write(fw: &Forwarder, key: &mut HeldKey, lease: LeaseId) -> Result<(), StoreError> {
    let name = fw.state().name().clone();
    let (peer, zone) = (fw.cfg().peer, fw.cfg().zone.clone());
    let value = MemberValue { peer, zone, writer: key.writer(lease) };
    let value = serde_json::to_vec(&value).expect("a member value serializes to JSON");
    let at = fw.store().put(&member_key(&name), &value, lease, None).await?;
    key.on_written(at);
    log::info!(event = "registered", daemon:% = name, lease, revision:% = at; "");
    Ok(())
}

async fn renew(
    fw: &Forwarder,
    key: &mut HeldKey,
    lease: LeaseId,
    sent: BootTime,
) -> Result<(), StoreError> {
    fw.store().renew(lease).await?;
    key.on_renewed(sent);
    Ok(())
}

fn on_failed(fw: &Forwarder, key: &mut HeldKey, error: &StoreError) {
    let now = boot_time();
    match error {
        StoreError::NotFound => {
            log::info!(event = "member_lease_ended", daemon:% = fw.state().name(); "");
            key.on_lease_ended(now, fw.state().register_pause(true));
        }
        StoreError::RateLimited => key.on_rate_limited(now, rand::random()),
        _ => key.on_failed(now, rand::random()),
    }
}

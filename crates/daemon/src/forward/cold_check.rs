use super::{call::Call, forward_state::StoreLink, forwarder::Forwarder, notices::apply_notice};
use cassiagw_core::forwarding::EndpointEntry;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Time in which an endpoint must answer its health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the endpoint of a request that is about to be sent whether it is cold, if a check is due: an
/// endpoint may become cold at any time, and says so in its entry and in answers to health checks.
/// While the store is away only the latter can be read.
pub fn start_cold_check(fw: &Arc<Forwarder>, call: &Arc<Call>, entry: &EndpointEntry) {
    let now = Instant::now();
    let is_due = {
        let mut state = fw.state();
        matches!(state.store_link, StoreLink::Lost(_))
            && state.endpoints.take_cold_check(now, &call.service, &entry.id)
            && state.endpoints.take_control_call(now, &entry.id)
    };
    if is_due {
        tokio::spawn(check(fw.clone(), call.clone(), entry.clone()));
    }
}

async fn check(fw: Arc<Forwarder>, call: Arc<Call>, entry: EndpointEntry) {
    let health = match fw.identities.check_health(&call.service, &entry, CHECK_TIMEOUT).await {
        Ok(health) => health,
        Err(error) => {
            log::debug!(event = "cold_check_failed", endpoint:% = entry.id, error:% = error; "");
            return;
        }
    };
    if health.identity.is_boot_of(&entry) {
        apply_notice(&fw, &entry, health.identity.notice, "health");
    }
    // A new boot at the same address is cold as well.
    if health.identity.id.is_some_and(|id| *id != *entry.id) {
        return;
    }
    if let Some(cold_for) = health.cold_for.filter(|cold_for| !cold_for.is_zero()) {
        let cold_ms = cold_for.as_millis() as u64;
        log::info!(event = "endpoint_cold", endpoint:% = entry.id, cold_ms; "");
        fw.state().endpoints.on_cold(Instant::now(), &entry.id, cold_for);
    }
}

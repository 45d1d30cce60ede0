//! Announcements in the store of the versions that may have begun streams.

use super::{
    forward_state::{DueAnnouncement, StoreLink, StreamVersionsValue},
    forwarder::Forwarder,
};
use cassiagw_core::{
    forwarding::AnnouncementStep,
    ids::{FastMap, ServiceId, ServiceVersion, stable_hash},
};
use cassiagw_platform::{StoreError, stream_versions_key};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::timeout;

/// Interval between checks whether announcements are due, while versions are mixed.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a daemon leaves an announcement to each one that ranks before it.
const ANNOUNCE_RANK_DELAY: Duration = Duration::from_millis(200);
/// Rank from which daemons wait equally long.
const MAX_ANNOUNCE_RANK: u32 = 20;
/// Time in which a written announcement normally arrives from the store.
const ARRIVAL_TIME: Duration = Duration::from_secs(1);

/// Announces the versions of services in the store while several may have begun streams, until the
/// future is dropped.
pub async fn announce_versions(fw: Arc<Forwarder>) {
    let mut changed = fw.changed.subscribe();
    // When each step became due here; a step that was taken is due again if it does not arrive.
    let mut due_since: FastMap<ServiceId, (AnnouncementStep, Instant)> = FastMap::default();
    loop {
        let is_mixed = fw.state().mixed_services(Instant::now()).next().is_some();
        match is_mixed {
            // A timeout means that there was no change.
            true => drop(timeout(ANNOUNCE_INTERVAL, changed.changed()).await),
            // Cannot fail: the sender lives as long as the daemon.
            false => drop(changed.changed().await),
        }
        let now = Instant::now();
        let due = due_steps(&fw, now);
        due_since.retain(|service, (step, _)| {
            due.iter().any(|due| due.service == *service && due.step == *step)
        });
        for due in due {
            let entry = due_since.entry(due.service.clone());
            let (_, since) = entry.or_insert_with(|| (due.step.clone(), now));
            if now < *since + rank_delay(&fw, &due.service) {
                continue;
            }
            *since = now + ARRIVAL_TIME;
            announce(&fw, &due).await;
        }
    }
}

fn due_steps(fw: &Forwarder, now: Instant) -> Vec<DueAnnouncement> {
    let mut state = fw.state();
    // Endpoints whose entries have lapsed leave the table without a change in the store.
    if state.mixed_services(now).next().is_some() {
        state.update_served_versions(now);
    }
    match state.store_link {
        StoreLink::Connected(_) => state.due_announcements(now),
        StoreLink::Lost(_) => Vec::new(),
    }
}

fn rank_delay(fw: &Forwarder, service: &ServiceId) -> Duration {
    let rank = fw.state().endpoints.own_rank(stable_hash(service.as_bytes()));
    ANNOUNCE_RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX).min(MAX_ANNOUNCE_RANK)
}

async fn announce(fw: &Forwarder, due: &DueAnnouncement) {
    let key = stream_versions_key(&due.service);
    let result = match &due.step {
        AnnouncementStep::Write(versions) => write(fw, &key, versions, due.revision).await,
        AnnouncementStep::Remove => fw.store().delete_expected(&key, due.revision).await,
    };
    fw.metrics.count_store_call("stream_versions", result.is_ok());
    match result {
        Ok(()) => {
            log::info!(event = "versions_announced", service:% = due.service, step:? = due.step; "")
        }
        // Another daemon was faster.
        Err(StoreError::Conflict) => {}
        Err(error) => {
            log::info!(event = "versions_not_announced", service:% = due.service, error:% = error; "")
        }
    }
}

async fn write(
    fw: &Forwarder,
    key: &str,
    versions: &[ServiceVersion],
    revision: u64,
) -> Result<(), StoreError> {
    let value = StreamVersionsValue { versions: versions.to_vec() };
    let value = serde_json::to_vec(&value).expect("versions serialize to JSON");
    fw.store().put(key, &value, 0, Some(revision)).await.map(drop)
}

//! Versions at which streams began: told to other daemons, asked of them, and announced in the store.

use super::{
    call::Call,
    forward_state::{DueAnnouncement, StoreLink, StreamVersionsValue},
    forwarder::Forwarder,
    request_record::Decision,
};
use cassiagw_core::{
    forwarding::{AnnouncementStep, ResumeDecision, ResumeRefusal, StreamOrigin},
    ids::{FastMap, ServiceId, ServiceVersion, stable_hash},
};
use cassiagw_platform::{StoreError, stream_versions_key};
use futures::{StreamExt, stream::FuturesUnordered};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// Time in which origins are collected before the other daemons are told.
const TELL_DELAY: Duration = Duration::from_millis(2);
/// Timeout for the answers of the daemons that hold the origin of a stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between checks whether announcements are due.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a daemon leaves an announcement to each one that ranks before it.
const ANNOUNCE_RANK_DELAY: Duration = Duration::from_millis(200);
/// Rank from which daemons wait equally long.
const MAX_ANNOUNCE_RANK: u32 = 20;
/// Time in which a written announcement normally arrives from the store.
const ARRIVAL_TIME: Duration = Duration::from_secs(1);

/// Determines where a stream goes on that a call resumes. Nothing is sent to an endpoint.
///
/// # Errors
/// The version that began the stream cannot be proved, or the request now belongs to another service.
pub async fn resume(fw: &Arc<Forwarder>, call: &Call) -> Result<(), ResumeRefusal> {
    let mut decision = fw.state().resume(call, None, true);
    let has_asked = decision == ResumeDecision::Ask;
    if has_asked {
        let told = ask_holders(fw, call).await;
        decision = fw.state().resume(call, told.as_ref(), false);
    }
    let result = match decision {
        ResumeDecision::At(version) => Ok(version),
        ResumeDecision::Refuse(refusal) => Err(refusal),
        ResumeDecision::Ask => Err(ResumeRefusal::UnknownVersion),
    };
    fw.metrics.count_resume(result.is_ok());
    call.record.add_decision(Decision::Resume {
        resumes: call.head.resumes.clone(),
        has_asked,
        result: result.clone(),
    });
    // Unset until here: the request has not been placed.
    let _ = call.stream_version.set(result?);
    Ok(())
}

async fn ask_holders(fw: &Arc<Forwarder>, call: &Call) -> Option<StreamOrigin> {
    let key = call.stream_key();
    let holders = fw.state().holder_addresses(key);
    let answers = holders.into_iter().map(|address| {
        fw.peers.call(address, async move |peer, cx| peer.stream_origin(cx, key).await)
    });
    let mut answers: FuturesUnordered<_> = answers.collect();
    let first_known = async {
        while let Some(answer) = answers.next().await {
            if let Some(origin) = answer.flatten() {
                return Some(origin);
            }
        }
        None
    };
    // A holder that does not answer in time knows nothing.
    timeout(ASK_TIMEOUT, first_known).await.ok().flatten()
}

/// Tells other daemons at which versions streams were placed, until the future is dropped.
pub async fn tell_origins(fw: Arc<Forwarder>) {
    loop {
        fw.origins_due.notified().await;
        sleep(TELL_DELAY).await;
        let by_peer = fw.state().take_origins_to_tell();
        for (address, origins) in by_peer {
            let fw = fw.clone();
            tokio::spawn(async move {
                fw.peers
                    .call(address, async |peer, cx| peer.streams_placed(cx, origins).await)
                    .await
            });
        }
    }
}

/// Announces the versions of services in the store while several may have begun streams, until the
/// future is dropped.
pub async fn announce_versions(fw: Arc<Forwarder>) {
    let mut changed = fw.changed.subscribe();
    // When each step became due here; a step that was taken is due again if it does not arrive.
    let mut due_since: FastMap<ServiceId, (AnnouncementStep, Instant)> = FastMap::default();
    loop {
        // A timeout means that there was no change.
        let _ = timeout(ANNOUNCE_INTERVAL, changed.changed()).await;
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

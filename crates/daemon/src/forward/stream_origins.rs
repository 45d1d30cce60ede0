//! Versions at which streams began: told to other daemons, and asked of them.

use super::{call::Call, forwarder::Forwarder, request_record::Decision};
use cassiagw_core::forwarding::{ResumeDecision, ResumeRefusal, StreamOrigin};
use futures::{StreamExt, stream::FuturesUnordered};
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// Time in which origins are collected before the other daemons are told.
const TELL_DELAY: Duration = Duration::from_millis(2);
/// Timeout for the answers of the daemons that hold the origin of a stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

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

//! Versions at which streams began: told to other daemons, and asked of them.

use super::{
    boot_clock::boot_time, call::Call, confirm_view::confirm_view, forward_state::ResumeLearned,
    forwarder::Forwarder, request_record::Decision,
};
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
    let mut learned = ResumeLearned::new(boot_time());
    let result = loop {
        let decision = fw.state().resume(call, &learned);
        match decision {
            ResumeDecision::At(version) => break Ok(version),
            ResumeDecision::Refuse(refusal) => break Err(refusal),
            ResumeDecision::Confirm => {
                learned.has_confirmed = true;
                confirm_view(fw, learned.since).await;
            }
            ResumeDecision::Ask => {
                learned.has_asked = true;
                learned.origin = ask_holders(fw, call).await;
            }
        }
    };
    fw.metrics.count_resume(result.is_ok());
    call.record.add_decision(Decision::Resume {
        resumes: call.head.resumes.clone(),
        has_confirmed: learned.has_confirmed,
        has_asked: learned.has_asked,
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

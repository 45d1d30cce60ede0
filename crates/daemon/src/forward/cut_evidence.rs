//! Whether an answer that was cut tells something of the version of its endpoint.
//!
//! A process that crashes cuts all that it runs at once, and so does a link that fails. A process that
//! still answers has broken this answer.

use super::{call::Call, forwarder::Forwarder, version_evidence::count_outcome};
use cassiagw_core::{
    forwarding::{AnswerOutcome, EndpointEntry, VersionGate},
    ids::{EndpointId, FastMap},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Minimum interval between two questions to an endpoint.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which an endpoint must tell who it is.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of polls for the result of a question.
const MAX_POLLS: usize = 5;
/// Time after which a question is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Endpoints that were asked whether they are alive.
#[derive(Clone, Debug, Default)]
pub struct LivenessChecks {
    asked: FastMap<EndpointId, Asked>,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Instant,
    /// When the latest question was asked that the endpoint answered.
    alive_at: Option<Instant>,
}

/// What is known of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    /// It has answered since.
    Alive,
    /// It is to be asked.
    Unknown,
    /// It was asked lately.
    Asked,
}

impl LivenessChecks {
    /// What is known of an endpoint since a time. `Unknown` counts as a question.
    fn look(&mut self, now: Instant, endpoint: &EndpointId, since: Instant) -> Liveness {
        self.asked.retain(|_, asked| now < asked.at + FORGET_AFTER);
        let known = self.asked.get_mut(endpoint);
        let alive_at = known.as_ref().and_then(|asked| asked.alive_at);
        if alive_at.is_some_and(|at| at >= since) {
            return Liveness::Alive;
        }
        if known.is_some_and(|asked| now < asked.at + QUESTION_INTERVAL) {
            return Liveness::Asked;
        }
        self.asked.insert(endpoint.clone(), Asked { at: now, alive_at });
        Liveness::Unknown
    }

    fn on_alive(&mut self, endpoint: &EndpointId, asked_at: Instant) {
        if let Some(asked) = self.asked.get_mut(endpoint) {
            asked.alive_at = asked.alive_at.max(Some(asked_at));
        }
    }
}

/// Counts an answer that was cut at `cut_at`, once it is known whether its endpoint still answers.
pub async fn count_cut(fw: Arc<Forwarder>, call: Arc<Call>, entry: EndpointEntry, cut_at: Instant) {
    let outcome = match is_alive_since(&fw, &call, &entry, cut_at).await {
        true => AnswerOutcome::Bad { first_byte: None },
        false => AnswerOutcome::Cut,
    };
    count_outcome(&fw, &call, &entry, outcome, false);
}

async fn is_alive_since(
    fw: &Forwarder,
    call: &Call,
    entry: &EndpointEntry,
    cut_at: Instant,
) -> bool {
    for _ in 0..MAX_POLLS {
        let asked_at = Instant::now();
        let liveness = {
            let mut state = fw.state();
            // A closed version gets nothing, and its answers no longer count.
            if state.endpoints.version_gate(entry) == VersionGate::Closed {
                return false;
            }
            state.liveness.look(asked_at, &entry.id, cut_at)
        };
        match liveness {
            Liveness::Alive => return true,
            Liveness::Unknown => return ask(fw, call, entry, asked_at).await,
            Liveness::Asked => sleep(QUESTION_INTERVAL).await,
        }
    }
    false
}

/// Whether the endpoint answers. False also if it may not be asked now.
async fn ask(fw: &Forwarder, call: &Call, entry: &EndpointEntry, asked_at: Instant) -> bool {
    if !fw.state().endpoints.take_control_call(asked_at, &entry.id) {
        return false;
    }
    let said = fw.identities.identify(&call.service, entry, ANSWER_TIMEOUT).await;
    if let Err(error) = &said {
        log::debug!(event = "liveness_check_failed", endpoint:% = entry.id, error:% = error; "");
    }
    let is_alive = said.as_ref().is_ok_and(|said| said.is_boot_of(entry));
    if is_alive {
        fw.state().liveness.on_alive(&entry.id, asked_at);
    }
    is_alive
}

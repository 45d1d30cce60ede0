use super::{call::Call, forward_state::ForwardState, forwarder::Forwarder};
use cassiagw_core::{
    forwarding::{PartHash, QuarantinedPart, SuspectKind, TimedQuarantine},
    ids::EndpointId,
};
use cassiagw_platform::{StoreError, quarantine_key};
use serde::{Deserialize, Serialize};
use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Interval at which quarantines are written to the store that it does not have.
const STORE_INTERVAL: Duration = Duration::from_millis(500);

/// Time by which a trial comes later at the next daemon in the order for a part; longer than it takes to
/// hear of a trial in a large fleet.
const TRIAL_RANK_DELAY: Duration = Duration::from_secs(1);

/// JSON value of the key of a quarantined part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineValue {
    /// Identifier of the part, as callers name it.
    pub name: String,
    /// Whether it is a part or a whole request.
    #[serde(default)]
    pub kind: SuspectKind,
    /// Workspace whose requests are kept away; none for all.
    pub workspace: Option<String>,
    /// Number of crashes that led to the quarantine.
    pub crashes: u32,
    /// Number of trials made so far.
    #[serde(default)]
    pub trials: u32,
}

impl QuarantineValue {
    /// The quarantine on a part.
    pub fn into_quarantined(self, part: PartHash) -> QuarantinedPart {
        let workspace = self.workspace.map(Into::into);
        let Self { name, kind, crashes, trials, .. } = self;
        QuarantinedPart { part, kind, name, workspace, crashes, trials }
    }
}

/// Why a request is kept away from the endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptAway {
    /// The part, as callers name it, or method and path of the request.
    pub name: String,
    /// Whether it is a part or the whole request.
    pub kind: SuspectKind,
    /// Number of endpoints that crashed under it.
    pub crashes: u32,
    /// Those of them that are still remembered.
    pub endpoints: Vec<EndpointId>,
    /// Time for which the quarantine still holds.
    pub left: Duration,
}

/// A prompt part of a request, or the request as a whole, and the crashes that count for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectCount {
    /// The part, as its caller names it, or method and path of the request.
    pub name: String,
    /// Number of endpoints that crashed under it.
    pub crashes: usize,
}

impl fmt::Display for SuspectCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.name, self.crashes)
    }
}

/// The suspects of a call for which crashes count, in the order of its prompt.
pub fn suspect_counts(state: &ForwardState, call: &Call) -> Vec<SuspectCount> {
    let crashes = call.suspects().into_iter().map(|part| state.quarantine.open_crashes(part));
    let counted = crashes.enumerate().filter(|(_, crashes)| *crashes > 0);
    let named = counted.filter_map(|(at, crashes)| {
        Some(SuspectCount { name: call.suspect_names().nth(at)?, crashes })
    });
    named.collect()
}

/// The quarantine that keeps a call away now, if there is one.
pub fn kept_away(state: &ForwardState, now: Instant, call: &Call) -> Option<KeptAway> {
    let makes_trials = |part| makes_trials(state, now, part);
    let quarantine = &state.quarantine;
    if quarantine.is_idle() {
        return None;
    }
    let (quarantined, left) =
        quarantine.find(now, call.workspace(), &call.suspects(), makes_trials)?;
    let at = call.suspect_parts.iter().position(|part| *part == quarantined.part);
    let named = at.and_then(|at| call.suspect_names().nth(at));
    let name = named.unwrap_or_else(|| quarantined.name.clone());
    let endpoints = quarantine.crashed_endpoints(quarantined.part).into_iter().collect();
    Some(KeptAway { name, kind: quarantined.kind, crashes: quarantined.crashes, endpoints, left })
}

/// Whether a trial of a part is up to this daemon. It is up to the first one for the part, and to each
/// next one if no request came to those before it, as long as it would hear of their trials.
fn makes_trials(state: &ForwardState, now: Instant, part: PartHash) -> bool {
    let rank = state.endpoints.own_rank(part);
    let wait = TRIAL_RANK_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
    let is_turn = state.quarantine.trial_due_for(now, part).is_some_and(|due| due >= wait);
    is_turn && (rank == 0 || state.is_view_current())
}

/// Records that a request is sent, which may be a trial that the other daemons must hear of before
/// they make one.
pub fn record_sent(fw: &Forwarder, state: &mut ForwardState, now: Instant, call: &Call) {
    let Some(part) = state.quarantine.on_sent(now, &call.suspects()) else { return };
    log::info!(event = "quarantine_trial", part = format!("{part:016x}"), id = &*call.head.id; "");
    fw.report_due.notify_one();
}

/// Updates the quarantines by what is known now, and logs and announces what has changed.
pub fn update_quarantine(fw: &Forwarder) {
    let changes = fw.state().quarantine.update(Instant::now());
    for quarantined in &changes.new {
        log::warn!(
            event = "part_quarantined", part = format!("{:016x}", quarantined.part),
            kind = quarantined.kind.name(), name = &*quarantined.name, workspace = quarantined.workspace.as_deref().unwrap_or("all"),
            crashes = quarantined.crashes, endpoints:? = crashed_endpoints(fw, quarantined.part); ""
        );
        fw.metrics.count_quarantine_change("new");
    }
    for quarantined in &changes.ended {
        log::warn!(
            event = "part_released", part = format!("{:016x}", quarantined.part),
            name = &*quarantined.name; ""
        );
        fw.metrics.count_quarantine_change("ended");
    }
    if !changes.new.is_empty() {
        fw.quarantine_changes.send_modify(|changes| *changes += 1);
    }
}

/// Lifts the quarantine of a part at all daemons, on an operator's request. False if
/// the part is not in quarantine.
pub fn lift(fw: &Forwarder, part: PartHash) -> bool {
    let now = Instant::now();
    if !fw.state().quarantine.quarantined(now).any(|aged| aged.quarantined.part == part) {
        return false;
    }
    log::warn!(event = "quarantine_lifted", part = format!("{part:016x}"); "");
    fw.state().quarantine.lift(now, part);
    update_quarantine(fw);
    fw.report_due.notify_one();
    true
}

fn crashed_endpoints(fw: &Forwarder, part: PartHash) -> Vec<EndpointId> {
    fw.state().quarantine.crashed_endpoints(part).into_iter().collect()
}

/// Keeps the quarantines in the store, so that they outlast the daemons, until the future is dropped.
/// A key ends with its lease, or when an operator or a daemon removes it, and the quarantine with it.
pub async fn store_quarantine(fw: Arc<Forwarder>) {
    loop {
        sleep(STORE_INTERVAL).await;
        update_quarantine(&fw);
        for aged in due_writes(&fw) {
            record_result(&fw, aged.quarantined.part, &write_key(&fw, &aged).await);
        }
        for part in due_removals(&fw) {
            record_result(&fw, part, &fw.store().delete(&quarantine_key(part)).await);
        }
    }
}

fn due_writes(fw: &Forwarder) -> Vec<TimedQuarantine> {
    let state = fw.state();
    state.quarantine.due_writes(Instant::now(), |part| state.endpoints.own_rank(part))
}

fn due_removals(fw: &Forwarder) -> Vec<PartHash> {
    let mut state = fw.state();
    let ForwardState { quarantine, endpoints, view, .. } = &mut *state;
    let has_key = |part| view.get(&quarantine_key(part)).is_some();
    quarantine.due_removals(Instant::now(), |part| endpoints.own_rank(part), has_key)
}

fn record_result(fw: &Forwarder, part: PartHash, result: &Result<(), StoreError>) {
    fw.metrics.count_store_call("quarantine", result.is_ok());
    if let Err(error) = result {
        log::info!(
            event = "quarantine_not_stored", part = format!("{part:016x}"), error:% = error; ""
        );
    }
}

async fn write_key(fw: &Forwarder, aged: &TimedQuarantine) -> Result<(), StoreError> {
    let quarantined = &aged.quarantined;
    let value = QuarantineValue {
        name: quarantined.name.clone(),
        kind: quarantined.kind,
        workspace: quarantined.workspace.as_deref().map(str::to_owned),
        crashes: quarantined.crashes,
        trials: quarantined.trials,
    };
    let value = serde_json::to_vec(&value).expect("a quarantined serializes to JSON");
    let lease = fw.store().grant(aged.left).await?.id;
    fw.store().put(&quarantine_key(quarantined.part), &value, lease, None).await?;
    Ok(())
}

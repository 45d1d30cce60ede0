use super::{
    call::Call,
    forward_state::ForwardState,
    forwarder::Forwarder,
    quarantine::{KeptAway, kept_away, record_sent, suspect_counts},
    request_record::Decision,
};
use cassiagw_core::{
    forwarding::{
        INITIAL_WEIGHT_VERSION, PartKey, Pick, PickRequest, Picked, RequestHash, VersionGate,
        part_key,
    },
    ids::{EndpointId, ZoneId},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Time until a request is tried again that waits for another run of it.
const PROBATION_WAIT: Duration = Duration::from_millis(20);

/// One request in this many may go to a version on trial while its share permits. Otherwise these
/// would come at regular intervals, and always be of the same route if callers take turns.
const TRIAL_DIVISOR: u64 = 3;

/// Assignment of a request to an endpoint. The request counts towards the load of the endpoint
/// until this is dropped.
pub struct Placement {
    fw: Arc<Forwarder>,
    /// Selected endpoint and the work that the request adds there.
    pub picked: Picked,
    placed_at: Instant,
    has_started: bool,
    /// Whether the request counts as sent to the version of the endpoint.
    is_counted: bool,
    /// The request, if crashes count for it and it is the only run of it here.
    on_probation: Option<RequestHash>,
}

impl Drop for Placement {
    fn drop(&mut self) {
        let id = &self.picked.entry.id;
        let mut state = self.fw.state();
        state.endpoints.on_request_done(id, &self.picked.work, self.has_started);
        if self.is_counted {
            state.endpoints.count_done(&self.picked.entry);
        }
        if let Some(whole) = self.on_probation {
            state.quarantine.on_probation_end(whole);
        }
        drop(state);
        self.fw.queues.wake();
    }
}

impl Placement {
    /// Counts the request as sent to the version of its endpoint, just before it is written there.
    /// Only the first call has an effect.
    pub fn count_sent(&mut self, state: &mut ForwardState) {
        if !self.is_counted {
            self.is_counted = state.endpoints.count_sent(Instant::now(), &self.picked.entry);
        }
    }

    /// Whether the request counts as sent to the version of its endpoint: a rollout runs.
    pub fn is_counted(&self) -> bool {
        self.is_counted
    }

    /// Records that the response has started. Only the first call has an effect.
    pub fn mark_started(&mut self) {
        if self.has_started {
            return;
        }
        self.has_started = true;
        let id = &self.picked.entry.id;
        let time = self.placed_at.elapsed();
        self.fw.state().endpoints.on_answer_started(id, &self.picked.work, time);
        self.fw.queues.wake();
    }
}

/// Result of placing a request.
pub enum PlaceResult {
    /// The request was assigned to an endpoint.
    Placed(Box<Placement>),
    /// All endpoints are at capacity; suggested time until the next try.
    Busy(Duration),
    /// All endpoints asked for a time without requests; time until the first one wants some.
    Paused(Duration),
    /// No endpoint accepts the request.
    NoEndpoint,
    /// The request may crash endpoints and must not reach any.
    KeptAway(KeptAway),
}

/// Places a call on an endpoint if one has capacity now. Every request passes here before it is sent
/// to an endpoint, also one that is sent again or was queued.
pub fn try_place(
    fw: &Arc<Forwarder>,
    state: &mut ForwardState,
    call: &Call,
    tried: &[EndpointId],
) -> PlaceResult {
    let now = Instant::now();
    if let Some(kept) = kept_away(state, now, call) {
        call.record.add_decision(Decision::KeptAway(kept.clone()));
        return PlaceResult::KeptAway(kept);
    }
    if !state.quarantine.is_idle() && state.quarantine.must_wait(call.whole()) {
        return PlaceResult::Busy(PROBATION_WAIT);
    }
    let part = shared_part(state, call);
    let stored_in = part.as_ref().map(|part| state.cache_index.zones(now, &part.scope, part.id));
    let stored_in: Vec<ZoneId> = stored_in.into_iter().flatten().cloned().collect();
    // A request that has failed once is sent to a version that is known to work, unless its stream has
    // begun on trial.
    let is_candidate = tried.is_empty() && call.id_hash().is_multiple_of(TRIAL_DIVISOR);
    let may_expose = (is_candidate || call.stream_version.get().is_some())
        && state.may_expose(now, &call.service.name);
    let versions = state.versions_for(now, call);
    let req = PickRequest {
        service: &call.service,
        prompt: call.head.prompt.as_ref(),
        part: part.as_ref().map(|part| part.key),
        stored_in: &stored_in,
        excluded: tried,
        versions: versions.as_deref(),
        old_weights_limit: state.old_weights_limit(),
        may_expose,
        tie_breaker: call.id_hash(),
    };
    match state.pick(now, &req) {
        Pick::Endpoint(picked) => {
            state.endpoints.on_sent(now, &picked, &req);
            let mut on_probation = None;
            if !state.quarantine.is_idle() {
                let suspects = suspect_counts(state, call);
                if !suspects.is_empty() {
                    call.record.add_decision(Decision::Suspected(suspects));
                }
                record_sent(fw, state, now, call);
                let whole = Some(call.whole());
                on_probation = whole.filter(|whole| state.quarantine.begin_probation(*whole));
            }
            // The share of a version on trial is used up at once, so that requests which wait for a
            // connection cannot exceed it together.
            let is_on_trial = state.endpoints.version_gate(&picked.entry) == VersionGate::Trial;
            let is_counted = is_on_trial && state.endpoints.count_sent(now, &picked.entry);
            if call.is_resumable() && state.on_stream_placed(now, call, &picked.entry.version) {
                fw.origins_due.notify_one();
            }
            call.record.add_decision(Decision::Placed(picked.clone()));
            let picked = *picked;
            PlaceResult::Placed(Box::new(Placement {
                fw: fw.clone(),
                picked,
                placed_at: now,
                has_started: false,
                is_counted,
                on_probation,
            }))
        }
        Pick::Paused(wait) => PlaceResult::Paused(wait),
        Pick::Busy(wait) => PlaceResult::Busy(wait),
        Pick::NoEndpoint => PlaceResult::NoEndpoint,
    }
}

/// Last shared part of a prompt, and its key within a cache scope.
struct SharedPart<'a> {
    scope: String,
    id: &'a str,
    key: PartKey,
}

/// Finds the last shared part of a call's prompt, within the scope of the newest weights.
fn shared_part<'a>(state: &ForwardState, call: &'a Call) -> Option<SharedPart<'a>> {
    let prompt = call.head.prompt.as_ref()?;
    let newest = state.endpoints.target_version(&prompt.model);
    let scope = call.cache_scope(&state.settings, newest.or(Some(INITIAL_WEIGHT_VERSION)))?;
    let key = part_key(&scope, prompt)?;
    Some(SharedPart { id: &prompt.shared_part()?.id, scope, key })
}

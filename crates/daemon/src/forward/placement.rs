use super::{
    call::Call, forward_state::ForwardState, forwarder::Forward, request_record::Decision,
};
use cassiagw_core::{
    forwarding::{INITIAL_WEIGHT_VERSION, PartKey, Pick, PickRequest, Picked, part_key},
    ids::{EndpointId, ZoneId},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// A request's place at an endpoint, counted there until this is dropped.
pub struct Placement {
    fw: Arc<Forward>,
    /// The endpoint and what the request brings there.
    pub picked: Picked,
    placed_at: Instant,
    has_begun: bool,
}

impl Drop for Placement {
    fn drop(&mut self) {
        let id = &self.picked.entry.id;
        self.fw.state().endpoints.on_request_done(id, &self.picked.work, self.has_begun);
        self.fw.queues.wake();
    }
}

impl Placement {
    /// Takes note that the answer has begun.
    pub fn begin(&mut self) {
        if self.has_begun {
            return;
        }
        self.has_begun = true;
        let id = &self.picked.entry.id;
        let time = self.placed_at.elapsed();
        self.fw.state().endpoints.on_answer_started(id, &self.picked.work, time);
        self.fw.queues.wake();
    }
}

/// Outcome of placing a request.
pub enum Placed {
    /// It has a place.
    At(Box<Placement>),
    /// There is no room; it is worth coming back after this time.
    Busy(Duration),
    /// No endpoint takes it.
    Nowhere,
}

/// Gives a call a place if an endpoint has room for it now.
pub fn place_now(
    fw: &Arc<Forward>,
    state: &mut ForwardState,
    call: &Call,
    tried: &[EndpointId],
) -> Placed {
    let now = Instant::now();
    let part = shared_part(state, call);
    let stored_in = part.as_ref().map(|part| state.kept.zones(now, &part.scope, part.id));
    let stored_in: Vec<ZoneId> = stored_in.into_iter().flatten().cloned().collect();
    let req = PickRequest {
        service: &call.service,
        prompt: call.head.prompt.as_ref(),
        part: part.as_ref().map(|part| part.key),
        stored_in: &stored_in,
        excluded: tried,
        old_weights_limit: state.old_weights_for(),
        tie_breaker: call.spread(),
    };
    match state.pick(now, &req) {
        Pick::Endpoint(picked) => {
            state.endpoints.on_sent(now, &picked, &req);
            call.record.decided(Decision::Placed(picked.clone()));
            let picked = *picked;
            Placed::At(Box::new(Placement {
                fw: fw.clone(),
                picked,
                placed_at: now,
                has_begun: false,
            }))
        }
        Pick::Busy(wait) => Placed::Busy(wait),
        Pick::NoEndpoint => Placed::Nowhere,
    }
}

/// The last shared part of a call's prompt.
struct SharedPart<'a> {
    scope: String,
    id: &'a str,
    key: PartKey,
}

/// Finds the last shared part of a call's prompt, within the scope of the newest weights.
fn shared_part<'a>(state: &ForwardState, call: &'a Call) -> Option<SharedPart<'a>> {
    let prompt = call.head.prompt.as_ref()?;
    let newest = state.endpoints.target_version(&prompt.model);
    let scope = call.cache_scope(newest.or(Some(INITIAL_WEIGHT_VERSION)))?;
    let key = part_key(&scope, prompt)?;
    Some(SharedPart { id: &prompt.shared_part()?.id, scope, key })
}

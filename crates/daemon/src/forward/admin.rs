use super::{
    answer::{Body, GatewayError, full_body},
    forward_state::{ForwardState, StoreLink},
    forwarder::Forwarder,
    quarantine::lift,
    rollout_log::rollouts,
};
use cassiagw_core::forwarding::PartHash;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use std::time::Instant;

/// Path under which the quarantine of a part is lifted; the part follows in hexadecimal.
const LIFT_PATH: &str = "/quarantine/lift/";

/// Serves the admin listener: `/metrics` in the Prometheus text format, `/dump`, `/quarantine` and
/// `/rollouts` as JSON, a POST to [`LIFT_PATH`], 404 otherwise.
pub fn answer_admin(fw: &Forwarder, req: &Request<Incoming>) -> Response<Body> {
    if let Some(part) = req.uri().path().strip_prefix(LIFT_PATH) {
        return answer_lift(fw, req.method(), part);
    }
    match req.uri().path() {
        "/quarantine" => Response::new(full_body(quarantine(&fw.state()).to_string())),
        "/rollouts" => Response::new(full_body(rollouts(&fw.state()).to_string())),
        "/metrics" => {
            fw.metrics.record_gauges(&fw.gauge_values());
            Response::new(full_body(fw.metrics.render()))
        }
        "/dump" => Response::new(full_body(dump(fw).to_string())),
        _ => {
            let mut response =
                Response::new(full_body("see /metrics, /dump, /quarantine, /rollouts\n"));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

fn answer_lift(fw: &Forwarder, method: &Method, part: &str) -> Response<Body> {
    let error = |status, code, message: &str| GatewayError::new(status, code, message).response();
    if method != Method::POST {
        return error(StatusCode::METHOD_NOT_ALLOWED, "method", "lifting needs POST");
    }
    let Ok(part) = PartHash::from_str_radix(part, 16) else {
        return error(StatusCode::BAD_REQUEST, "bad_part", "the part is no hexadecimal number");
    };
    match lift(fw, part) {
        true => Response::new(full_body(quarantine(&fw.state()).to_string())),
        false => error(StatusCode::NOT_FOUND, "not_quarantined", "the part is not in quarantine"),
    }
}

/// Quarantined prompt parts and the time for which they are, and parts for which crashes count.
fn quarantine(state: &ForwardState) -> Value {
    let now = Instant::now();
    let quarantine = &state.quarantine;
    let quarantined = quarantine.quarantined(now).map(|aged| {
        let quarantined = aged.quarantined;
        json!({
            "part": format!("{:016x}", quarantined.part), "kind": quarantined.kind.name(), "name": quarantined.name,
            "workspace": quarantined.workspace, "crashes": quarantined.crashes,
            "trials": quarantined.trials, "left_s": aged.left.as_secs(),
        })
    });
    let suspects = quarantine.suspects(now).into_iter().map(|(part, crashes)| {
        let name = quarantine.name(part);
        json!({ "part": format!("{part:016x}"), "name": name, "crashes": crashes })
    });
    json!({ "quarantined": quarantined.collect::<Vec<_>>(), "suspects": suspects.collect::<Vec<_>>() })
}

/// State of the daemon as JSON for debugging. Must not contain API keys, prompts or responses.
fn dump(fw: &Forwarder) -> Value {
    let state = fw.state();
    let services = state.settings.services.keys().map(|service| {
        let load = state.endpoints.load(Instant::now(), service, 0);
        json!({ "service": service, "endpoints": load.endpoints, "in_flight": load.in_flight })
    });
    let endpoints = state.endpoints.entries().map(|entry| {
        let work_time = state.endpoints.work_time(Instant::now(), &entry.id);
        json!({
            "id": entry.id, "service": entry.service, "address": entry.address,
            "zone": entry.zone, "version": entry.version,
            "gate": state.endpoints.version_gate(entry), "phase": format!("{:?}", entry.phase), "weights": entry.weights,
            "leaving": state.endpoints.is_leaving(&entry.id),
            "pause_ms": state.endpoints.pause_of(Instant::now(), &entry.id).map(|left| left.as_millis() as u64),
            "limit_per_s": state.endpoints.limit_per_s(&entry.id),
            "work_time_percent": work_time.map(|sample| sample.percent),
            "work_time_age_ms": work_time.map(|sample| sample.age.as_millis() as u64),
        })
    });
    let weights = state.endpoints.target_weights().map(|(model, target)| {
        let fetches_previous = target.fetches_previous(Instant::now());
        json!({ "model": model, "newest": target.version(), "fetches_previous": fetches_previous })
    });
    json!({
        "name": fw.cfg().name,
        "registered_as": state.name(),
        "is_registered": state.is_registered(),
        "sharing_daemons": state.sharing_count(),
        "boot": format!("{:016x}", fw.boot),
        "draining": fw.is_draining(),
        "settings_version": state.settings.version,
        "view_revision": state.view.as_of().revision,
        "store_era": state.view.as_of().era,
        "store_answers": matches!(state.store_link, StoreLink::Connected(_)),
        "order_holder": state.order_holder,
        "buffered_answer_bytes": fw.answer_budget().used_bytes(),
        "caller_memory": fw.caller_memory.dump(),
        "quarantine": quarantine(&state),
        "rollouts": rollouts(&state),
        "mixed_services": state.mixed_services(Instant::now()).collect::<Vec<_>>(),
        "weights": weights.collect::<Vec<_>>(),
        "members": state.members.keys().collect::<Vec<_>>(),
        "services": services.collect::<Vec<_>>(),
        "endpoints": endpoints.collect::<Vec<_>>(),
    })
}

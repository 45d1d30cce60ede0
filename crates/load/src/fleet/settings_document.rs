use super::{FleetSpec, RunningEndpoint, caller_token};
use cassiagw_core::settings::TokenHash;
use serde_json::{Value, json};
use std::{collections::BTreeSet, net::SocketAddr};

/// Initial weight version of every model.
const FIRST_VERSION: &str = "v1";

/// Builds the settings changes of a deployment in the JSON format of the operators' API.
pub fn settings_document(
    spec: &FleetSpec,
    endpoints: &[RunningEndpoint],
    stores: &[SocketAddr],
) -> Value {
    let models: BTreeSet<&str> = spec.engines.iter().map(|engine| engine.model.as_str()).collect();
    let services: BTreeSet<&str> = spec.services.iter().map(String::as_str).collect();
    let model_names: Vec<&str> = models.iter().chain(&services).copied().collect();
    let mut changes: Vec<(String, Value)> = Vec::new();
    let zone = json!({"region": spec.region, "state": "in"});
    changes.extend(spec.zones.iter().map(|name| (format!("zones/{name}"), zone.clone())));
    let model = json!({
        "kind": "engine",
        "versions": [FIRST_VERSION],
        "default_version": FIRST_VERSION,
        "piece_tokens": spec.piece_tokens,
    });
    changes.extend(models.iter().map(|name| (format!("models/{name}"), model.clone())));
    let service = json!({"kind": "service"});
    changes.extend(services.iter().map(|name| (format!("models/{name}"), service.clone())));
    changes.extend(endpoints.iter().map(|endpoint| {
        let value = json!({
            "host": endpoint.host,
            "zone": endpoint.zone,
            "model": endpoint.model,
            "rpc": endpoint.rpc,
        });
        (format!("endpoints/{}", endpoint.id), value)
    }));
    changes.extend(stores.iter().enumerate().map(|(index, address)| {
        let value = json!({"zone": spec.zone(index), "address": address});
        (format!("stores/store-{index}"), value)
    }));
    for name in &spec.workspaces {
        let access = json!({
            "workspace": name,
            "token": TokenHash::of(&format!("team-{name}")),
            "models": model_names,
        });
        let caller = json!({"token": TokenHash::of(&caller_token(name))});
        changes.push((format!("workspaces/{name}"), json!({})));
        changes.push((format!("access/{name}"), access));
        changes.push((format!("teams/{name}/callers/main"), caller));
    }
    let changes: Vec<Value> =
        changes.into_iter().map(|(path, value)| json!({"path": path, "value": value})).collect();
    json!({ "changes": changes })
}

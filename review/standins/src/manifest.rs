//! The operator's manifest: a route for each kind of request, and two services.

use crate::{
    replica::{HEALTH_PATH, MODEL},
    requester::HOST,
};

/// A tenant with its key.
pub struct Tenant {
    pub name: &'static str,
    pub key: &'static str,
    pub is_dedicated: bool,
}

/// Manifest of a version. While a replica of `desk` is cold, it takes `cold_per_s` requests a second.
pub fn manifest(version: u64, tenants: &[Tenant], cold_per_s: f64) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|Tenant { name, key, is_dedicated }| {
            format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"dedicated\":{is_dedicated}}}")
        })
        .collect();
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":0,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"public\":false,\"sticky\":{},\"can_resume\":false,\"gap_aim_ms\":300}}",
            kind == "stream"
        )
    };
    let routes = [
        route("status", "safe", "desk", 2),
        route("order", "unsafe", "desk", 1),
        route("advice", "stream", "models", 1),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"desk\",\"health_path\":\"{HEALTH_PATH}\",\"max_conns\":400,\"cold_s\":3.0,\"cold_per_s\":{cold_per_s}}},\
         {{\"name\":\"models\",\"health_path\":\"{HEALTH_PATH}\",\"max_conns\":400,\"cold_s\":0.0,\"cold_per_s\":0.0,\
         \"engine\":{{\"slots\":16,\"kv_capacity_tokens\":80000,\"kv_token_bytes\":163840,\"link_mbps\":550000.0,\
         \"moves\":true,\"backups\":true,\"managed\":true,\"max_inflight\":12,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

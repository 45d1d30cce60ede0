//! A small deployment: the platform's store, an order desk with two replicas, and daemons.

use crate::{
    daemon::Daemon,
    desk,
    http::exchange,
    record::{Record, WorkDir},
    store::Store,
};
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Keys of the two tenants.
pub const KEYS: [&str; 2] = ["key-a", "key-b"];
/// Host name of all routes.
const HOST: &str = "site.example";
/// Zones of the machines.
const ZONES: [&str; 2] = ["andong", "gumi"];

/// A manifest with routes and limits as the sheet and the pages of the small deployments have them. The
/// service of the route `advice` has no replicas, since no request of it becomes complete.
const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"r-order","host":"site.example","prefix":"/order/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":false},
{"name":"r-status","host":"site.example","prefix":"/status/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"public":false},
{"name":"r-advice","host":"site.example","prefix":"/advice/","kind":"stream","timeout_ms":12000,"target_latency_ms":1000,"priority":1,"service":"models","max_attempts":1,"public":false,"sticky":true,"can_resume":false,"gap_aim_ms":300}],
"services":[
{"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0},
{"name":"models","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":9.6,"engine":{"slots":64,"kv_capacity_tokens":86580,"kv_token_bytes":163840,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"a","api_keys":["key-a"],"priority":1},{"name":"b","api_keys":["key-b"],"priority":1}]}"#;

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// Store, replicas and daemons.
pub struct Deployment {
    /// Daemons.
    pub daemons: Vec<Daemon>,
    _dir: WorkDir,
}

impl Deployment {
    /// Starts everything and waits until the daemons are ready; `None` if the case can't run.
    pub fn start(count: usize, record: &Record) -> Option<Self> {
        let store = Store::new();
        store.put("op/config", MANIFEST);
        for (number, zone) in ZONES.iter().enumerate() {
            let id = format!("i-{number}");
            let (_, entry) = desk::start(&id, "desk", zone);
            store.put(&format!("servers/{id}"), &entry);
        }
        let dir = WorkDir::new();
        let start = |number: usize| {
            Daemon::start_new(&format!("edge-{number}"), ZONES[number], store.address, &dir.0)
        };
        let daemons: Vec<Daemon> = (0..count).map(start).collect();
        for daemon in &daemons {
            if !daemon.wait_ready() {
                record.line(format!("{} is not ready after 20 s", daemon.name));
                return None;
            }
            if !daemon.has_descriptors() {
                record.line("the machine allows fewer open files than the settings name");
                return None;
            }
        }
        Some(Self { daemons, _dir: dir })
    }
}

/// Head of a caller's request, without framing fields and the empty line.
pub fn head(method: &str, path: &str, id: &str, key: &str, deadline_ms: u32) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n"
    )
}

/// Sends an ordinary order to a daemon and returns the status of its answer; `None` if the
/// connection ended without an answer.
pub fn order(daemon: &Daemon) -> Option<u16> {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let head = head("POST", "/order/a", &format!("order-{number}"), KEYS[0], 3_000);
    let req = format!("{head}Connection: close\r\nContent-Length: 5\r\n\r\napron");
    exchange(daemon.front, req.as_bytes(), Duration::from_secs(3))
}

//! Memory of a daemon's process while endpoints and stores of kept cache send bytes without end.

use cassiagw_platform_standins::{
    CallerFields, EndlessPart, EndlessServer, Replica, SettingsDocument, StandInStore,
    settings_file,
};
use cassiagw_surfaces::http::{HttpClient, HttpLimits, HttpRequest};
use futures::future::join_all;
use hyper::{Method, header::HeaderName};
use serde_json::json;
use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicBool, Ordering::Relaxed},
    thread,
    time::Duration,
};
use tempfile::TempDir;
use tokio::time::sleep;

/// Memory of the process in its settings file, in units of 1,000,000 bytes.
const MEMORY_MB: u64 = 110;
/// Engines that answer every call without end.
const ENDLESS_ENGINES: usize = 20;
/// Stores of kept cache that do so.
const ENDLESS_STORES: usize = 6;
/// Time for which callers wait, longer than any deadline here.
const PATIENCE: Duration = Duration::from_secs(30);
/// Requests at the same time to these engines.
const CONCURRENT: usize = 40;

struct Process {
    child: Child,
    callers: SocketAddr,
    _dir: TempDir,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(store: SocketAddr) -> Self {
        let dir = TempDir::new().expect("a directory for settings");
        let settings = dir.path().join("node.toml");
        fs::write(&settings, settings_file("daemon-0", store))
            .expect("the settings file can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_cassiagwd"))
            .arg("--forward")
            .env("CASSIAGW_NODE_FILE", &settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon's program starts");
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let callers = loop {
            let line = lines.next().expect("the daemon starts").expect("output is text");
            let address = line.split(' ').find_map(|field| field.strip_prefix("callers="));
            if let Some(address) = address.filter(|_| line.contains("event=started")) {
                break address.parse().expect("an address");
            }
        };
        thread::spawn(move || lines.for_each(drop));
        Self { child, callers, _dir: dir }
    }

    /// Most memory that the process has ever had, in bytes.
    fn peak_memory(&self) -> u64 {
        let pid = self.child.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("a status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        let kib = peak.trim().trim_end_matches(" kB").parse::<u64>().expect("a number");
        kib * 1_024
    }
}

fn request(kind: &str, id: &str) -> HttpRequest {
    let method = if kind == "safe" { Method::GET } else { Method::POST };
    let mut req = HttpRequest::new(method, format!("/{kind}/thing")).with_body(vec![b'x'; 300]);
    for (name, value) in (CallerFields { id, key: "key-1", time_ms: 20_000, kind }).fields() {
        let value = value.try_into().expect("a field value");
        req = req.with_header(HeaderName::from_static(name), value);
    }
    req
}

/// Guards against a daemon that keeps what faulty replicas send without end, in a head or a body,
/// runs out of memory, and takes the requests of other callers with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_answers_on_all_paths_fit_the_memory_and_others_are_served() {
    for part in EndlessPart::ALL {
        let store = StandInStore::start().await;
        let caches = join_all((0..ENDLESS_STORES).map(|_| EndlessServer::start(part))).await;
        let caches: Vec<SocketAddr> = caches.iter().map(|server| server.address).collect();
        let settings = SettingsDocument::new(1).with_cache_stores(&caches).with_timeout_ms(20_000);
        store.put_settings(&settings);
        let desk = Replica::start("d0").await;
        store.list_replica(&desk, "desk", "ready");
        let engines = join_all((0..ENDLESS_ENGINES).map(|_| EndlessServer::start(part))).await;
        for (number, engine) in engines.iter().enumerate() {
            let id = format!("e{number}");
            store.list(&id, &engine_entry(engine.address));
        }
        // Reports of all engines are read, and orders are given.
        store.set_newest_weights(2);
        let daemon = Process::start(store.address);
        let client =
            HttpClient::new(HttpLimits { response_timeout: PATIENCE, ..HttpLimits::default() });
        let is_over = AtomicBool::new(false);
        let served = async {
            let mut served = 0;
            while !is_over.load(Relaxed) {
                let id = format!("other-{served}");
                let answer = client.call(daemon.callers, request("safe", &id)).await;
                assert_eq!(answer.expect("an answer").status, 200, "{part:?}: {id}");
                served += 1;
                sleep(Duration::from_millis(5)).await;
            }
            served
        };
        let endless = async {
            for kind in ["stream", "resumable"] {
                let calls = (0..CONCURRENT).map(|number| {
                    let req = request(kind, &format!("{kind}-{number}"));
                    client.call(daemon.callers, req)
                });
                join_all(calls).await;
            }
            is_over.store(true, Relaxed);
        };
        wait_until_served(&client, daemon.callers).await;
        let (served, ()) = tokio::join!(served, endless);
        let peak = daemon.peak_memory();
        println!("{part:?}: {served} served, peak {} KB", peak / 1_000);
        assert!(served > 0, "{part:?}");
        assert!(peak < MEMORY_MB * 1_000_000, "{part:?}: {peak} bytes");
    }
}

async fn wait_until_served(client: &HttpClient, callers: SocketAddr) {
    for number in 0..1_000 {
        let req = request("safe", &format!("first-{number}"));
        if client.call(callers, req).await.is_ok_and(|answer| answer.status == 200) {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the daemon does not serve");
}

fn engine_entry(address: SocketAddr) -> serde_json::Value {
    json!({
        "service": "models", "address": address, "zone": "z0", "slots": 8, "state": "ready",
        "cold_left_ms": 0, "sequence": 1, "born": 1, "stage": "colocated",
        "models": [{ "name": "m", "version": 1, "adapters": [] }],
    })
}

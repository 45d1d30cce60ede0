//! Tests that run each kind of stand-in as a separate process.

use cassiagw_surfaces::http::{HttpClient, HttpRequest};
use hyper::Method;
use serde_json::json;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

const KINDS: [&str; 6] = ["kv", "engine", "service", "store", "weights", "hosts"];

/// A stand-in process; killed on drop.
struct Process(Child);

impl Process {
    fn start(args: &[&str]) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_cassiagw-standin"))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the stand-in binary starts");
        Self(child)
    }

    /// Parses one line `name=IP:PORT` of the output for each name, in order.
    fn addresses<const N: usize>(&mut self, names: [&str; N]) -> [SocketAddr; N] {
        let mut lines = BufReader::new(self.0.stdout.take().expect("output is piped")).lines();
        names.map(|name| {
            let line = lines.next().expect("one line per name").expect("output is UTF-8");
            let (key, address) = line.split_once('=').expect("line has the form name=address");
            assert_eq!(key, name);
            address.parse().expect("valid socket address")
        })
    }

    fn signal(&mut self, signal: &str) {
        let pid = self.0.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &pid]).status();
        assert!(status.expect("the kill command runs").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::test]
async fn every_kind_prints_its_address_and_stops_on_sigterm() {
    for kind in KINDS {
        let mut process = Process::start(&[kind, "--listen", "127.0.0.1:0"]);
        let [address] = process.addresses(["listening"]);
        let req = HttpRequest::new(Method::GET, "/admin/records");
        let answer = HttpClient::default().call(address, req).await.expect("the stand-in responds");
        assert!(answer.status.is_success(), "{kind}");
        process.signal("TERM");
        let status = process.0.wait().expect("child process can be waited for");
        assert!(status.success(), "{kind}: {status}");
    }
}

#[tokio::test]
async fn administration_stays_open_while_connections_are_refused() {
    let any = "127.0.0.1:0";
    let mut process = Process::start(&["kv", "--listen", any, "--admin", any]);
    let [address, admin] = process.addresses(["listening", "admin"]);
    let client = HttpClient::default();
    let faults = |down| HttpRequest::new_json("/admin/faults", &json!({ "down": down }));
    let health = || HttpRequest::new(Method::GET, "/health");
    client.call(admin, faults("refuse")).await.expect("the stand-in responds");
    while client.call(address, health()).await.is_ok() {}
    client.call(admin, faults("no")).await.expect("the stand-in responds");
    while client.call(address, health()).await.is_err() {}
}

struct Case {
    config: &'static str,
    error: &'static str,
}

#[test]
fn invalid_settings_are_reported_by_name() {
    let cases = [
        Case { config: "sed: 3", error: "unknown field `sed`" },
        Case { config: "seed: many", error: "seed" },
        Case { config: "faults: {writes: 3}", error: "faults.writes: unknown fault" },
        Case { config: "faults: {slow_ms: -1}", error: "faults" },
        Case { config: "{", error: "line" },
    ];
    let folder = tempfile::tempdir().expect("temporary directory can be created");
    for Case { config, error } in cases {
        let path = folder.path().join("kv.yaml");
        let mut file = std::fs::File::create(&path).expect("settings file can be created");
        file.write_all(config.as_bytes()).expect("settings file can be written");
        let path = path.to_str().expect("path is UTF-8");
        let mut process = Process::start(&["kv", "--listen", "127.0.0.1:0", "--config", path]);
        let mut text = String::new();
        process
            .0
            .stderr
            .take()
            .expect("output is piped")
            .read_to_string(&mut text)
            .expect("stderr is UTF-8");
        assert!(!process.0.wait().expect("child process can be waited for").success(), "{config}");
        assert!(text.contains(error), "{config}: {text}");
    }
}

use super::{Client, RunningDaemon};
use cassiagw_core::settings::TokenHash;
use cassiagw_standins::{engine, kv, service};
use cassiagw_surfaces::http::HttpRequest;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

/// Where daemons listen, on ports that the system chooses. Connections start from another loopback
/// address, so none of them takes the port of a daemon that is being started again.
pub const DAEMON_ADDRESS: &str = "127.0.0.7:0";
/// Bearer token of the operators.
pub const OPERATOR_TOKEN: &str = "operator";
/// Model that engines serve.
pub const MODEL: &str = "order-text";
/// Plain service.
pub const SERVICE: &str = "warehouse";
/// Looks for a condition before a test gives up; one every [`POLL`].
const MAX_POLLS: usize = 3_000;
/// Time between two looks for a condition.
const POLL: Duration = Duration::from_millis(10);

/// Bearer token of a workspace's caller.
pub fn caller_token(workspace: &str) -> String {
    format!("caller-{workspace}")
}

/// What a system consists of.
#[derive(Clone, Debug)]
pub struct SystemSpec {
    /// Entries.
    pub entries: usize,
    /// Engines.
    pub engines: Vec<engine::Config>,
    /// Plain services.
    pub services: Vec<service::Config>,
    /// Availability zones; processes are spread over them.
    pub zones: Vec<&'static str>,
    /// Tokens in a piece of cache.
    pub piece_tokens: u32,
    /// Requests that a warm and a cold endpoint run at once.
    pub running: (u32, u32),
}

impl Default for SystemSpec {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: vec![engine::Config::default(); 2],
            services: vec![service::Config::default()],
            zones: vec!["za", "zb"],
            piece_tokens: 1_000,
            running: (8, 2),
        }
    }
}

/// An entry.
pub struct EntryPart {
    /// The daemon.
    pub daemon: RunningDaemon,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address of the dump.
    pub admin: SocketAddr,
    /// Its settings, to start it again.
    pub config: Value,
}

/// An endpoint daemon.
pub struct EndpointPart {
    /// Name of the endpoint.
    pub id: String,
    /// The daemon.
    pub daemon: RunningDaemon,
    /// Address for entries.
    pub rpc: SocketAddr,
    /// Its settings, to start it again.
    pub config: Value,
    /// Availability zone.
    pub zone: String,
    /// Model or plain service.
    pub model: &'static str,
}

/// Stand-ins, entries and endpoint daemons.
pub struct System {
    /// What it consists of.
    pub spec: SystemSpec,
    /// Key-value service.
    pub kv: kv::Handle,
    /// Engines, in the order of the spec.
    pub engines: Vec<engine::Handle>,
    /// Plain services, in the order of the spec.
    pub services: Vec<service::Handle>,
    /// Entries.
    pub entries: Vec<EntryPart>,
    /// Endpoint daemons: those of the engines, then those of the services.
    pub endpoints: Vec<EndpointPart>,
    /// Caller and operator.
    pub client: Client,
}

impl System {
    /// Starts a system and waits until its settings are in force everywhere.
    pub async fn start(spec: SystemSpec) -> Self {
        let kv = kv::spawn(kv::Config::default()).await;
        let mut system = Self {
            kv,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            endpoints: Vec::new(),
            client: Client::default(),
            spec,
        };
        for _ in 0..system.spec.entries {
            system.add_entry().await;
        }
        for (index, cfg) in system.spec.engines.clone().into_iter().enumerate() {
            let engine = engine::spawn(cfg).await;
            system.add_endpoint(format!("engine-{index}"), "engine", engine.address).await;
            system.engines.push(engine);
        }
        for (index, cfg) in system.spec.services.clone().into_iter().enumerate() {
            let service = service::spawn(cfg).await;
            system.add_endpoint(format!("service-{index}"), "service", service.address).await;
            system.services.push(service);
        }
        system.apply_settings().await;
        system
    }

    /// Adds an entry and gives its index.
    pub async fn add_entry(&mut self) -> usize {
        let index = self.entries.len();
        let mut config = self.daemon_config(&format!("entry-{index}"), self.zone(index));
        config["role"] = json!("entry");
        config["listen"]["http"] = json!(DAEMON_ADDRESS);
        let (daemon, addresses) = RunningDaemon::start(&config).await;
        let http = addresses.http.expect("entries have it");
        let (peer, admin) = (addresses.peer, addresses.admin);
        self.entries.push(EntryPart { daemon, http, peer, admin, config });
        index
    }

    /// Kills an endpoint daemon and starts it again at its address.
    pub async fn restart_endpoint(&mut self, index: usize) {
        let part = &mut self.endpoints[index];
        part.daemon.kill();
        part.config["listen"]["rpc"] = json!(part.rpc);
        let (daemon, _) = RunningDaemon::start(&part.config).await;
        part.daemon = daemon;
        self.wait_until_settled().await;
    }

    /// Changes settings as an operator and waits for the answer.
    pub async fn set(&self, path: &str, value: &Value) -> super::Answer {
        let req = HttpRequest::new(hyper::Method::PUT, format!("/v1/settings/{path}"))
            .with_body(value.to_string());
        self.client.send(self.entries[0].http, OPERATOR_TOKEN, req).await
    }

    /// Takes an availability zone out or brings it back.
    pub async fn set_zone(&self, zone: &str, state: &str) -> super::Answer {
        self.set(&format!("zones/{zone}"), &json!({"region": "r", "state": state})).await
    }

    /// Polls until every daemon has the newest revision that any of them has.
    pub async fn wait_until_settled(&self) {
        let daemons: Vec<&RunningDaemon> = self
            .entries
            .iter()
            .map(|part| &part.daemon)
            .chain(self.endpoints.iter().map(|part| &part.daemon))
            .filter(|daemon| daemon.is_running())
            .collect();
        poll("settings in force everywhere", || {
            let revisions = daemons.iter().map(|daemon| daemon.cx.view().tree.revision);
            let newest = revisions.clone().max().unwrap_or_default();
            let is_current = daemons.iter().all(|daemon| daemon.cx.view().is_current);
            newest > 0 && is_current && revisions.into_iter().all(|revision| revision == newest)
        })
        .await;
    }

    fn zone(&self, index: usize) -> &'static str {
        self.spec.zones[index % self.spec.zones.len()]
    }

    async fn add_endpoint(&mut self, id: String, kind: &str, upstream: SocketAddr) {
        let index = self.endpoints.len();
        let zone = self.zone(index);
        let mut config = self.daemon_config(&id, zone);
        config["role"] = json!("endpoint");
        config["listen"]["rpc"] = json!(DAEMON_ADDRESS);
        config["endpoint"] = json!({
            "id": id,
            "kind": kind,
            "upstream": upstream,
            "max_running": self.spec.running.0,
            "cold_running": self.spec.running.1,
        });
        let (daemon, addresses) = RunningDaemon::start(&config).await;
        self.endpoints.push(EndpointPart {
            id,
            daemon,
            rpc: addresses.rpc.expect("endpoint daemons have it"),
            config,
            zone: zone.to_owned(),
            model: if kind == "engine" { MODEL } else { SERVICE },
        });
    }

    fn daemon_config(&self, name: &str, zone: &str) -> Value {
        json!({
            "name": name,
            "deployment": deployment_of(self.kv.address),
            "host": format!("host-{name}"),
            "zone": zone,
            "listen": {"peer": DAEMON_ADDRESS, "admin": DAEMON_ADDRESS},
            "platform": {"kv": [self.kv.address]},
            "peers": self.entries.iter().map(|part| part.peer).collect::<Vec<_>>(),
            "operator_token": TokenHash::of(OPERATOR_TOKEN),
        })
    }

    async fn apply_settings(&self) {
        let mut changes = vec![
            change(
                "models/order-text",
                json!({
                    "kind": "engine", "versions": ["v1", "v2"], "default_version": "v1",
                    "piece_tokens": self.spec.piece_tokens,
                }),
            ),
            change("models/warehouse", json!({"kind": "service"})),
        ];
        for zone in &self.spec.zones {
            let value = json!({"region": "r", "state": "in"});
            changes.push(change(&format!("zones/{zone}"), value));
        }
        for part in &self.endpoints {
            let value = json!({
                "host": format!("host-{}", part.id),
                "zone": part.zone,
                "model": part.model,
                "rpc": part.rpc,
            });
            changes.push(change(&format!("endpoints/{}", part.id), value));
        }
        for workspace in ["chiclayo", "hangang"] {
            let access = json!({
                "workspace": workspace,
                "token": TokenHash::of(&format!("team-{workspace}")),
                "models": [MODEL, SERVICE],
                "versions": ["v1", "v2"],
            });
            let caller = json!({"token": TokenHash::of(&caller_token(workspace))});
            changes.push(change(&format!("workspaces/{workspace}"), json!({})));
            changes.push(change(&format!("access/{workspace}"), access));
            changes.push(change(&format!("teams/{workspace}/callers/main"), caller));
        }
        let req = HttpRequest::new_json("/v1/settings", &json!({"changes": changes}));
        let answer = self.client.send(self.entries[0].http, OPERATOR_TOKEN, req).await;
        assert_eq!(answer.status, 200, "settings are accepted: {answer:?}");
        self.wait_until_settled().await;
    }
}

/// Name of a system's deployment; test systems of one program run side by side and may get each
/// other's ports.
pub fn deployment_of(kv: SocketAddr) -> String {
    format!("test-{}", kv.port())
}

fn change(path: &str, value: Value) -> Value {
    json!({"path": path, "value": value})
}

/// Polls until a condition holds; fails the test long after it should have.
pub async fn poll(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if holds() {
            return;
        }
        sleep(POLL).await;
    }
    panic!("never came true: {what}");
}

use super::{Client, RunningDaemon};
use cassiagw_core::settings::TokenHash;
use cassiagw_standins::{engine, kv, service};
use cassiagw_surfaces::http::HttpRequest;
use cassiagwd::Addresses;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

/// Second octet of the loopback address of a system's first daemon.
const FIRST_DAEMON_OCTET: u8 = 64;
/// Bearer token of the operators.
pub const OPERATOR_TOKEN: &str = "operator";
/// Name of the model that the engines serve.
pub const MODEL: &str = "order-text";
/// Name of the plain service.
pub const SERVICE: &str = "warehouse";
/// Maximum number of polls for a condition, one every [`POLL_INTERVAL`], before the test fails.
const MAX_POLLS: usize = 3_000;
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the bearer token of a workspace's caller.
pub fn caller_token(workspace: &str) -> String {
    format!("caller-{workspace}")
}

/// Configuration of a test system.
#[derive(Clone, Debug)]
pub struct SystemSpec {
    /// Number of entries.
    pub entries: usize,
    /// Configurations of the engine stand-ins.
    pub engines: Vec<engine::Config>,
    /// Configurations of the plain service stand-ins.
    pub services: Vec<service::Config>,
    /// Availability zones, assigned to daemons in turn.
    pub zones: Vec<&'static str>,
    /// Tokens per cache piece.
    pub piece_tokens: u32,
    /// Maximum numbers of concurrent requests on a warm and on a cold endpoint.
    pub running: (u32, u32),
    /// Limits in the configuration of the entries.
    pub entry_limits: Value,
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
            entry_limits: json!({}),
        }
    }
}

/// An entry of a test system.
pub struct EntryPart {
    /// The running daemon.
    pub daemon: RunningDaemon,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
    /// Configuration for a restart of the daemon at its addresses.
    pub config: Value,
}

/// An endpoint daemon of a test system.
pub struct EndpointPart {
    /// ID of the endpoint in the settings.
    pub id: String,
    /// The running daemon.
    pub daemon: RunningDaemon,
    /// Address for entries.
    pub rpc: SocketAddr,
    /// Configuration for a restart of the daemon at its addresses.
    pub config: Value,
    /// Availability zone of the daemon and its endpoint.
    pub zone: String,
    /// Name of the model or plain service that the endpoint serves.
    pub model: &'static str,
}

/// Test deployment: platform stand-ins, entries and endpoint daemons.
pub struct System {
    /// Configuration that the system was started with.
    pub spec: SystemSpec,
    /// Stand-in of the key-value service.
    pub kv: kv::Handle,
    /// Engine stand-ins, in the order of the spec.
    pub engines: Vec<engine::Handle>,
    /// Plain service stand-ins, in the order of the spec.
    pub services: Vec<service::Handle>,
    /// Entries, in the order in which they were added.
    pub entries: Vec<EntryPart>,
    /// Endpoint daemons: those of the engines, then those of the services.
    pub endpoints: Vec<EndpointPart>,
    /// Client for requests of callers and operators.
    pub client: Client,
    daemon_addresses: u8,
}

impl System {
    /// Returns the listen address for the next daemon, with a port assigned by the operating system.
    ///
    /// No other daemon of any running test listens on this IP address, and outgoing connections use
    /// 127.0.0.1, so the ports of a killed daemon stay free until it is restarted.
    pub fn next_daemon_address(&mut self) -> String {
        let octet = FIRST_DAEMON_OCTET + self.daemon_addresses;
        self.daemon_addresses += 1;
        // The stand-in keeps its port as long as the system runs, so no other system has the number.
        let [high, low] = self.kv.address.port().to_be_bytes();
        format!("127.{octet}.{high}.{low}:0")
    }

    /// Starts a system and waits until all daemons have its settings.
    pub async fn start(spec: SystemSpec) -> Self {
        let kv = kv::spawn(kv::Config::default()).await;
        let mut system = Self {
            kv,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            endpoints: Vec::new(),
            client: Client::default(),
            daemon_addresses: 0,
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

    /// Starts an entry and returns its index.
    pub async fn add_entry(&mut self) -> usize {
        let index = self.entries.len();
        let mut config = self.daemon_config(&format!("entry-{index}"), self.zone(index));
        config["role"] = json!("entry");
        config["limits"] = self.spec.entry_limits.clone();
        config["listen"]["http"] = config["listen"]["peer"].clone();
        let (daemon, addresses) = RunningDaemon::start(&config).await;
        config["listen"] = listen(&addresses);
        let http = addresses.http.expect("entries have an HTTP address");
        let (peer, admin) = (addresses.peer, addresses.admin);
        self.entries.push(EntryPart { daemon, http, peer, admin, config });
        index
    }

    /// Kills an endpoint daemon and restarts it at the same addresses.
    pub async fn restart_endpoint(&mut self, index: usize) {
        let part = &mut self.endpoints[index];
        part.daemon.kill();
        let (daemon, _) = RunningDaemon::start(&part.config).await;
        part.daemon = daemon;
        self.wait_until_settled().await;
    }

    /// Sets a setting as an operator through the first entry.
    pub async fn set(&self, path: &str, value: &Value) -> super::Answer {
        let req = HttpRequest::new(hyper::Method::PUT, format!("/v1/settings/{path}"))
            .with_body(value.to_string());
        self.client.send(self.entries[0].http, OPERATOR_TOKEN, req).await
    }

    /// Sets the state of an availability zone: `in` or `out` of service.
    pub async fn set_zone(&self, zone: &str, state: &str) -> super::Answer {
        self.set(&format!("zones/{zone}"), &json!({"region": "r", "state": state})).await
    }

    /// Polls until all running daemons are current and at the same settings revision.
    pub async fn wait_until_settled(&self) {
        let daemons: Vec<&RunningDaemon> = self
            .entries
            .iter()
            .map(|part| &part.daemon)
            .chain(self.endpoints.iter().map(|part| &part.daemon))
            .filter(|daemon| daemon.is_running())
            .collect();
        poll("all daemons current at the same settings revision", || {
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
        config["listen"]["rpc"] = config["listen"]["peer"].clone();
        config["endpoint"] = json!({
            "id": id,
            "kind": kind,
            "upstream": upstream,
            "max_running": self.spec.running.0,
            "cold_running": self.spec.running.1,
        });
        let (daemon, addresses) = RunningDaemon::start(&config).await;
        config["listen"] = listen(&addresses);
        self.endpoints.push(EndpointPart {
            id,
            daemon,
            rpc: addresses.rpc.expect("endpoint daemons have an RPC address"),
            config,
            zone: zone.to_owned(),
            model: if kind == "engine" { MODEL } else { SERVICE },
        });
    }

    fn daemon_config(&mut self, name: &str, zone: &str) -> Value {
        let address = self.next_daemon_address();
        json!({
            "name": name,
            "deployment": deployment_of(self.kv.address),
            "host": format!("host-{name}"),
            "zone": zone,
            "listen": {"peer": address, "admin": address},
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

/// Returns the `listen` section for restarting a daemon at the addresses that it had.
fn listen(addresses: &Addresses) -> Value {
    let mut listen = json!({"peer": addresses.peer, "admin": addresses.admin});
    for (name, address) in [("http", addresses.http), ("rpc", addresses.rpc)] {
        if let Some(address) = address {
            listen[name] = json!(address);
        }
    }
    listen
}

/// Returns the deployment name of a system. It is unique per system, because systems that run
/// concurrently may reuse each other's ports.
pub fn deployment_of(kv: SocketAddr) -> String {
    format!("test-{}", kv.port())
}

fn change(path: &str, value: Value) -> Value {
    json!({"path": path, "value": value})
}

/// Polls until a condition holds; panics after [`MAX_POLLS`] polls.
pub async fn poll(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if holds() {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for: {what}");
}

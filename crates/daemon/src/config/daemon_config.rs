use super::{Limits, Section};
use cassiagw_core::{
    ids::{DaemonId, EndpointId, HostId, ZoneId},
    settings::{EndpointKind, TokenHash},
};
use serde_json::Value;
use std::net::SocketAddr;

/// Deployment name used when the file sets none.
const DEFAULT_DEPLOYMENT: &str = "cassiagw";

/// Validated configuration of one daemon process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Name of the daemon, unique in the deployment.
    pub name: DaemonId,
    /// Name of the deployment; connections between different deployments are rejected.
    pub deployment: String,
    /// Host that the daemon runs on, under its name in the platform's host list.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Role of the daemon, with the settings of that role.
    pub role: Role,
    /// Listen addresses.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Peer addresses of other daemons to contact at startup.
    pub peers: Vec<SocketAddr>,
    /// BLAKE3 hash of the operators' bearer token.
    pub operator_token: TokenHash,
    /// Size limits, connection limits and timeouts.
    pub limits: Limits,
}

/// Role of a daemon in the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves requests from callers and operators over HTTP.
    Entry,
    /// Runs requests from entries on one endpoint.
    Endpoint(EndpointConfig),
}

/// Settings of the `endpoint` role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointConfig {
    /// ID of the endpoint in the operators' settings.
    pub id: EndpointId,
    /// Whether the upstream is an inference engine or a plain service.
    pub kind: EndpointKind,
    /// Address of the engine or plain service that runs the requests.
    pub upstream: SocketAddr,
    /// Maximum number of concurrent requests while the endpoint is warm.
    pub max_running: u32,
    /// Maximum number of requests queued in the daemon.
    pub max_waiting: u32,
    /// Maximum number of concurrent requests while the endpoint is cold; at most `max_running`.
    pub cold_running: u32,
    /// Maximum number of replicas in the region that load weights concurrently; must be the same
    /// in all daemons of a region.
    pub load_slots: u32,
}

/// Listen addresses of a daemon; port 0 lets the operating system choose a port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// HTTP interface for callers and operators; `None` on endpoint daemons.
    pub http: Option<SocketAddr>,
    /// RPC interface for entries; `None` on entries.
    pub rpc: Option<SocketAddr>,
    /// Protocol between daemons.
    pub peer: SocketAddr,
    /// HTTP interface for health, metrics and the state dump.
    pub admin: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Members of the key-value service; at least one.
    pub kv: Vec<SocketAddr>,
    /// Host list service; `None` if the platform has none.
    pub hosts: Option<SocketAddr>,
}

impl Config {
    /// Reads the root mapping; `None` if a setting without a default is missing or invalid.
    pub(super) fn read(root: &mut Section<'_>) -> Option<Self> {
        let name = root.required_name("name");
        let deployment = root.optional_name("deployment");
        let host = root.required_name("host");
        let zone = root.required_name("zone");
        let role = root.required("role", "entry or endpoint", parse_role);
        let is_entry = role.as_deref() != Some("endpoint");
        let listen = root.nested("listen", |section| Listen::read(section, is_entry));
        let platform = root.nested("platform", Platform::read);
        let peers = root.addresses("peers");
        let operator_token =
            root.required("operator_token", "the blake3 hash of a token, 64 hex digits", |value| {
                serde_json::from_value(value.clone()).ok()
            });
        let limits = root.nested("limits", Limits::read);
        let role = match is_entry {
            true => Some(Role::Entry),
            false => root.nested("endpoint", EndpointConfig::read).map(Role::Endpoint),
        };
        Some(Self {
            name: name?.into(),
            deployment: deployment.unwrap_or_else(|| DEFAULT_DEPLOYMENT.to_owned()),
            host: host?.into(),
            zone: zone?.into(),
            role: role?,
            listen: listen?,
            platform,
            peers,
            operator_token: operator_token?,
            limits,
        })
    }
}

impl Config {
    /// Key prefix of the deployment in the key-value service, without a trailing slash.
    pub fn prefix(&self) -> String {
        format!("/{}", self.deployment)
    }
}

fn parse_role(value: &Value) -> Option<String> {
    value.as_str().filter(|role| ["entry", "endpoint"].contains(role)).map(str::to_owned)
}

impl Listen {
    fn read(section: &mut Section<'_>, is_entry: bool) -> Option<Self> {
        let peer = section.required_address("peer");
        let admin = section.required_address("admin");
        let (http, rpc) = match is_entry {
            true => (Some(section.required_address("http")), None),
            false => (None, Some(section.required_address("rpc"))),
        };
        let http = http.map_or(Some(None), |address| address.map(Some))?;
        let rpc = rpc.map_or(Some(None), |address| address.map(Some))?;
        Some(Self { http, rpc, peer: peer?, admin: admin? })
    }
}

impl Platform {
    fn read(section: &mut Section<'_>) -> Self {
        let kv = section.addresses("kv");
        if kv.is_empty() {
            section.fault("kv", None, "a list of at least one address");
        }
        Self { kv, hosts: section.optional_address("hosts") }
    }
}

impl EndpointConfig {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let id = section.required_name("id");
        let kind = section.required("kind", "engine or service", |value| {
            serde_json::from_value(value.clone()).ok()
        });
        let upstream = section.required_address("upstream");
        let max_running = section.count("max_running", 8);
        let max_waiting = section.count("max_waiting", 256);
        let cold_running = section.count("cold_running", 1);
        let load_slots = section.count("load_slots", 2);
        if cold_running > max_running {
            let found = Value::from(cold_running);
            section.fault("cold_running", Some(&found), "at most endpoint.max_running");
        }
        Some(Self {
            id: id?.into(),
            kind: kind?,
            upstream: upstream?,
            max_running,
            max_waiting,
            cold_running,
            load_slots,
        })
    }
}

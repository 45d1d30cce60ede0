use super::{Limits, Section};
use cassiagw_core::{
    ids::{DaemonId, EndpointId, HostId, ZoneId},
    settings::{EndpointKind, TokenHash},
};
use serde_json::Value;
use std::net::SocketAddr;

/// Name of the deployment where none is set.
const DEFAULT_DEPLOYMENT: &str = "cassiagw";

/// Checked settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Name of the daemon, unique in the deployment.
    pub name: DaemonId,
    /// Name of the deployment; daemons of others are not spoken to.
    pub deployment: String,
    /// Host that it runs on, as the platform lists it.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// What the daemon does.
    pub role: Role,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Peer addresses of other daemons, to start from.
    pub peers: Vec<SocketAddr>,
    /// Hash of the operators' bearer token.
    pub operator_token: TokenHash,
    /// Bounds on what it takes and waits for.
    pub limits: Limits,
}

/// What a daemon does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes requests of callers and operators.
    Entry,
    /// Stands before one endpoint.
    Endpoint(EndpointConfig),
}

/// Settings of the `endpoint` role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointConfig {
    /// Name of the endpoint in the operators' settings.
    pub id: EndpointId,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Address of the engine or plain service.
    pub upstream: SocketAddr,
    /// Requests that a warm endpoint runs at once.
    pub max_running: u32,
    /// Requests that may wait in the daemon.
    pub max_waiting: u32,
    /// Requests that a cold endpoint runs at once.
    pub cold_running: u32,
    /// Replicas of the region that load weights at once; the same in all daemons of a region.
    pub load_slots: u32,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers and operators; entries only.
    pub http: Option<SocketAddr>,
    /// Requests of entries; endpoint daemons only.
    pub rpc: Option<SocketAddr>,
    /// Other daemons.
    pub peer: SocketAddr,
    /// Health, metrics and state dump.
    pub admin: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Members of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// The list of hosts, if there is one.
    pub hosts: Option<SocketAddr>,
}

impl Config {
    /// Reads the whole file; `None` if a setting that cannot be replaced is wrong.
    pub(super) fn read(root: &mut Section<'_>) -> Option<Self> {
        let name = root.required_name("name");
        let deployment = root.optional_name("deployment");
        let host = root.required_name("host");
        let zone = root.required_name("zone");
        let role = root.required("role", "entry or endpoint", role_name);
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
    /// First part of every key of the deployment at the key-value service.
    pub fn prefix(&self) -> String {
        format!("/{}", self.deployment)
    }
}

fn role_name(value: &Value) -> Option<String> {
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

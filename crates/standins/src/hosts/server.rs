use super::config::{Config, Faults};
use crate::server::{Body, Cut, FaultCell, StandIn, error_json, json};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::Instant;

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The platform is going to remove the host.
    Leaving,
}

/// Entry of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Host name.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Whether the host is going to be removed.
    pub state: HostState,
}

/// Stand-in for the platform's host list.
#[derive(Debug)]
pub struct Hosts {
    faults: FaultCell<Faults>,
    history: Mutex<History>,
}

/// Versions of the list, oldest first, each with the time at which it was set.
#[derive(Debug)]
struct History {
    versions: Vec<(Instant, Vec<Host>)>,
    reads: u64,
}

/// Read counter and current contents of the host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Number of times the list was read.
    pub reads: u64,
    /// Current hosts, without the lag.
    pub hosts: Vec<Host>,
}

impl Hosts {
    /// Adds a host or replaces its entry.
    pub fn set_host(&self, host: Host) {
        self.change(|hosts| match hosts.iter_mut().find(|entry| entry.host == host.host) {
            Some(entry) => *entry = host,
            None => hosts.push(host),
        });
    }

    /// Removes a host from the list.
    pub fn remove_host(&self, name: &str) {
        self.change(|hosts| hosts.retain(|host| host.host != name));
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut history = self.history();
        let mut hosts = history.versions.last().map_or_else(Vec::new, |(_, hosts)| hosts.clone());
        change(&mut hosts);
        history.versions.push((Instant::now(), hosts));
    }

    fn visible_hosts(&self) -> Vec<Host> {
        let lag = Duration::from_millis(self.faults.read(|faults| faults.lag_ms));
        let mut history = self.history();
        history.reads += 1;
        let visible = history.versions.iter().rev().find(|(since, _)| since.elapsed() >= lag);
        visible.or(history.versions.first()).map_or_else(Vec::new, |(_, hosts)| hosts.clone())
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().expect("no thread panics while it changes hosts")
    }
}

impl StandIn for Hosts {
    type Config = Config;
    type Faults = Faults;
    type Records = Records;

    fn new(cfg: Config) -> Self {
        let history = History { versions: vec![(Instant::now(), cfg.hosts)], reads: 0 };
        Self { faults: FaultCell::new(cfg.faults, cfg.seed), history: Mutex::new(history) }
    }

    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Result<Response<Body>, Cut> {
        Ok(match (req.method(), req.uri().path()) {
            (&Method::GET, "/v1/hosts") => {
                json(StatusCode::OK, &json!({ "hosts": self.visible_hosts() }))
            }
            _ => error_json(StatusCode::NOT_FOUND, "not_found", "no such path"),
        })
    }

    fn faults(&self) -> &FaultCell<Faults> {
        &self.faults
    }

    fn admin(&self, path: &str, document: &Value) -> Result<Value, String> {
        match (path, document["state"].as_str(), document["host"].as_str()) {
            ("/admin/hosts", Some("gone"), Some(host)) => self.remove_host(host),
            ("/admin/hosts", _, _) => {
                let host = serde_json::from_value(document.clone());
                self.set_host(host.map_err(|error| format!("host: {error}"))?);
            }
            _ => return Err(format!("{path}: unknown administration call")),
        }
        Ok(json!({ "hosts": self.records().hosts }))
    }

    fn records(&self) -> Records {
        let history = self.history();
        let hosts = history.versions.last().map_or_else(Vec::new, |(_, hosts)| hosts.clone());
        Records { reads: history.reads, hosts }
    }
}

use super::{
    ANY_PORT, ChildProcess, FleetError, FleetSpec, Programs, read_json, set_faults,
    settings_document::settings_document,
};
use cassiagw_core::settings::TokenHash;
use cassiagw_surfaces::http::{HttpClient, HttpRequest};
use hyper::{
    Method, StatusCode,
    header::{AUTHORIZATION, HeaderValue},
};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep};

/// Bearer token that authenticates the operators of a deployment.
pub const OPERATOR_TOKEN: &str = "operator";
/// Timeout for applying the settings, and for all daemons to become ready after that.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Bearer token that authenticates the caller of a workspace.
pub fn caller_token(workspace: &str) -> String {
    format!("caller-{workspace}")
}

/// Running endpoint: an engine or plain service and its endpoint daemon.
#[derive(Debug)]
pub struct RunningEndpoint {
    /// Endpoint ID in the settings.
    pub id: String,
    /// Name of the host it runs on.
    pub host: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Name of the model or plain service it serves.
    pub model: String,
    /// Whether it is an engine rather than a plain service.
    pub is_engine: bool,
    /// Address of the stand-in of the engine or plain service.
    pub upstream: SocketAddr,
    /// Address on which the endpoint daemon accepts RPC requests.
    pub rpc: SocketAddr,
    /// Address of the endpoint daemon's admin server (health, metrics and state dump).
    pub admin: SocketAddr,
    /// Process ID of the endpoint daemon.
    pub daemon_pid: u32,
}

/// Running deployment; dropping it kills every process.
#[derive(Debug)]
pub struct Fleet {
    /// Specification it was started from.
    pub spec: FleetSpec,
    /// HTTP addresses on which the entries accept requests of callers.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the entries' admin servers (health, metrics and state dump).
    pub entry_admins: Vec<SocketAddr>,
    /// Process IDs of the entries.
    pub entry_pids: Vec<u32>,
    /// Endpoints of engines and plain services.
    pub endpoints: Vec<RunningEndpoint>,
    /// Listen addresses of the store hosts.
    pub stores: Vec<SocketAddr>,
    /// Address of the stand-in of the key-value service.
    pub kv: SocketAddr,
    /// Address of the stand-in of the host list.
    pub hosts: SocketAddr,
    children: Vec<ChildProcess>,
    programs: Programs,
    http: HttpClient,
}

impl Fleet {
    /// Starts all processes, applies the settings and waits until every daemon is ready.
    ///
    /// # Errors
    /// A process cannot be started or does not become ready.
    pub async fn start(spec: FleetSpec) -> Result<Self, FleetError> {
        let programs = Programs::new(spec.programs.clone())?;
        let kv = programs.start_standin("kv", "kv", &json!({}))?;
        let hosts = programs.start_standin("hosts", "hosts", &json!({}))?;
        let mut fleet = Self {
            spec,
            entries: Vec::new(),
            entry_admins: Vec::new(),
            entry_pids: Vec::new(),
            endpoints: Vec::new(),
            stores: Vec::new(),
            kv: kv.address("listening")?,
            hosts: hosts.address("listening")?,
            children: vec![kv, hosts],
            programs,
            http: HttpClient::default(),
        };
        fleet.start_stores()?;
        let peers = fleet.start_entries()?;
        fleet.start_endpoints(&peers)?;
        fleet.apply_settings().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Sends a request with the operator token to the first entry and returns the JSON response.
    ///
    /// # Errors
    /// The request failed or the response status is not 200.
    pub async fn send_as_operator(&self, req: HttpRequest) -> Result<Value, FleetError> {
        let token = HeaderValue::from_str(&format!("Bearer {OPERATOR_TOKEN}"))
            .expect("the token is plain text");
        let req = req.with_header(AUTHORIZATION, token);
        let answer = self.http.call(self.entries[0], req).await;
        let answer = answer.map_err(|error| FleetError::Settings(error.to_string()))?;
        if answer.status != StatusCode::OK {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            return Err(FleetError::Settings(format!("{}: {body}", answer.status)));
        }
        answer.json().map_err(|error| FleetError::Settings(error.to_string()))
    }

    /// Reads a JSON document from a stand-in or a daemon.
    ///
    /// # Errors
    /// The request failed or the response is not JSON.
    pub async fn read(&self, address: SocketAddr, path: &str) -> Result<Value, FleetError> {
        read_json(&self.http, address, path).await
    }

    /// Sets the injected faults of a stand-in.
    ///
    /// # Errors
    /// The request failed.
    pub async fn set_faults(&self, address: SocketAddr, faults: &Value) -> Result<(), FleetError> {
        set_faults(&self.http, address, faults).await
    }

    fn start_stores(&mut self) -> Result<(), FleetError> {
        for index in 0..self.spec.stores.len() {
            let config = self.spec.stores[index].config.clone();
            let child = self.programs.start_standin("store", &format!("store-{index}"), &config)?;
            self.stores.push(child.address("listening")?);
            self.children.push(child);
        }
        Ok(())
    }

    fn start_entries(&mut self) -> Result<Vec<SocketAddr>, FleetError> {
        let mut peers = Vec::new();
        for index in 0..self.spec.entries {
            let name = format!("entry-{index}");
            let mut config = self.daemon_config(&name, self.spec.zone(index), &peers);
            config["role"] = json!("entry");
            config["listen"]["http"] = json!(ANY_PORT);
            let child = self.programs.start_daemon(&name, &config)?;
            self.entries.push(child.address("http")?);
            self.entry_admins.push(child.address("admin")?);
            peers.push(child.address("peer")?);
            self.entry_pids.push(child.id());
            self.children.push(child);
        }
        Ok(peers)
    }

    fn start_endpoints(&mut self, peers: &[SocketAddr]) -> Result<(), FleetError> {
        let engines = self.spec.engines.clone();
        for (index, engine) in engines.iter().enumerate() {
            let id = format!("{}-{index}", engine.model);
            let standin = self.programs.start_standin("engine", &id, &engine.config)?;
            self.start_endpoint(id, &engine.model, index, standin, peers)?;
        }
        for (index, service) in self.spec.services.clone().iter().enumerate() {
            let id = format!("{service}-{index}");
            let standin = self.programs.start_standin("service", &id, &json!({}))?;
            self.start_endpoint(id, service, index, standin, peers)?;
        }
        Ok(())
    }

    fn start_endpoint(
        &mut self,
        id: String,
        model: &str,
        index: usize,
        standin: ChildProcess,
        peers: &[SocketAddr],
    ) -> Result<(), FleetError> {
        let is_engine = self.spec.engines.iter().any(|engine| engine.model == model);
        let zone = self.spec.zone(index).to_owned();
        let upstream = standin.address("listening")?;
        let mut config = self.daemon_config(&id, &zone, peers);
        config["role"] = json!("endpoint");
        config["listen"]["rpc"] = json!(ANY_PORT);
        config["endpoint"] = json!({
            "id": id,
            "kind": if is_engine { "engine" } else { "service" },
            "upstream": upstream,
            "max_running": self.spec.max_running,
            "cold_running": self.spec.cold_running,
        });
        let daemon = self.programs.start_daemon(&id, &config)?;
        self.endpoints.push(RunningEndpoint {
            host: host_name(&id),
            zone,
            model: model.to_owned(),
            is_engine,
            upstream,
            rpc: daemon.address("rpc")?,
            admin: daemon.address("admin")?,
            daemon_pid: daemon.id(),
            id,
        });
        self.children.extend([daemon, standin]);
        Ok(())
    }

    fn daemon_config(&self, name: &str, zone: &str, peers: &[SocketAddr]) -> Value {
        json!({
            "name": name,
            "host": host_name(name),
            "zone": zone,
            "listen": {"peer": ANY_PORT, "admin": ANY_PORT},
            "platform": {"kv": [self.kv], "hosts": self.hosts},
            "peers": peers,
            "operator_token": TokenHash::of(OPERATOR_TOKEN),
        })
    }

    async fn apply_settings(&self) -> Result<(), FleetError> {
        let document = settings_document(&self.spec, &self.endpoints, &self.stores);
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let req = HttpRequest::new_json("/v1/settings", &document);
            match self.send_as_operator(req).await {
                Ok(_) => return Ok(()),
                Err(error) if Instant::now() > deadline => return Err(error),
                Err(_) => sleep(READY_POLL_INTERVAL).await,
            }
        }
    }

    async fn wait_until_ready(&self) -> Result<(), FleetError> {
        let endpoints = self.endpoints.iter().map(|endpoint| endpoint.admin);
        let deadline = Instant::now() + READY_TIMEOUT;
        for address in self.entry_admins.iter().copied().chain(endpoints) {
            loop {
                let req = HttpRequest::new(Method::GET, "/readyz");
                let answer = self.http.call(address, req).await;
                if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(FleetError::NotReady(address.to_string()));
                }
                sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

fn host_name(daemon: &str) -> String {
    format!("host-{daemon}")
}

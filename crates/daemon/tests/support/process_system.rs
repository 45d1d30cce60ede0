use super::{Process, System, SystemSpec};
use cassiagw_surfaces::http::HttpRequest;
use hyper::Method;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

/// Maximum number of polls of a process before the test fails.
const MAX_POLLS: usize = 1_500;
/// Delay between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A system whose daemons run in separate processes, and its stand-ins in the test process.
pub struct ProcessSystem {
    /// Stand-ins, addresses and the client; its in-process daemons are stopped.
    pub system: System,
    /// Processes of the entries.
    pub entries: Vec<Process>,
    /// Processes of the endpoint daemons, in the order of `system.endpoints`.
    pub endpoints: Vec<Process>,
}

impl ProcessSystem {
    /// Sets up a system, then replaces each of its daemons by a process at the same addresses.
    pub async fn start(spec: SystemSpec) -> Self {
        let mut system = System::start(spec).await;
        system.entries.iter_mut().for_each(|part| part.daemon.kill());
        system.endpoints.iter_mut().for_each(|part| part.daemon.kill());
        let mut processes = Self { entries: Vec::new(), endpoints: Vec::new(), system };
        for index in 0..processes.system.entries.len() {
            let config = &processes.system.entries[index].config;
            processes.entries.push(Process::start(config).await);
        }
        for index in 0..processes.system.endpoints.len() {
            let config = &processes.system.endpoints[index].config;
            processes.endpoints.push(Process::start(config).await);
        }
        processes.wait_until_ready().await;
        processes
    }

    /// Returns the address where an entry serves callers.
    pub fn http(&self, entry: usize) -> SocketAddr {
        self.entries[entry].address("http")
    }

    /// Polls until every process is ready.
    pub async fn wait_until_ready(&self) {
        for process in self.entries.iter().chain(&self.endpoints) {
            self.wait_for(process, "/readyz").await;
        }
    }

    /// Kills every process, so that all in-memory state is lost.
    pub fn kill_all(&mut self) {
        self.entries.iter_mut().chain(&mut self.endpoints).for_each(Process::kill);
    }

    /// Restarts every process at the same addresses.
    pub async fn restart_all(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.endpoints) {
            process.restart().await;
        }
    }

    /// Sends an order to the plain service through an entry, with an idempotency key.
    pub async fn order(&self, entry: usize, key: &str) -> super::Answer {
        let path = format!("/v1/services/{}/orders", super::SERVICE);
        let body = json!({"aprons": 12});
        self.system.client.order(self.http(entry), "chiclayo", &path, Some(key), &body).await
    }

    /// Counts the executions for an idempotency key in the services' records.
    pub fn runs(&self, key: &str) -> usize {
        let records = self.system.services.iter().map(|service| service.records());
        records
            .flat_map(|records| records.executions)
            .filter(|execution| execution.key.as_deref() == Some(key))
            .count()
    }

    /// Fetches the state dump of a process.
    pub async fn dump(&self, process: &Process) -> Value {
        let req = HttpRequest::new(Method::GET, "/dump");
        self.system.client.send(process.address("admin"), "", req).await.document
    }

    async fn wait_for(&self, process: &Process, path: &str) {
        for _ in 0..MAX_POLLS {
            let req = HttpRequest::new(Method::GET, path);
            if self.system.client.send(process.address("admin"), "", req).await.status == 200 {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("daemon did not become ready: {}", process.config);
    }
}

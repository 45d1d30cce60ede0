use crate::{
    support::{Answer, Client, RunningDaemon, SERVICE, System, SystemSpec},
    wire_proxy::{self, Upstream, WireFaults},
};
use cassiagw_core::claims::SHARD_COUNT;
use cassiagw_standins::service;
use cassiagw_surfaces::http::HttpRequest;
use hyper::Method;
use serde_json::{Value, json};
use std::{net::SocketAddr, sync::Mutex, time::Duration};
use tokio::time::sleep;

/// Maximum number of polls of a condition.
const MAX_POLLS: usize = 1_500;
/// Interval between polls.
const POLL: Duration = Duration::from_millis(20);

/// A system of entries and plain services, with a proxy in front of each endpoint daemon.
pub struct OrderSystem {
    pub system: System,
    pub plan: WireFaults,
    upstreams: Vec<Upstream>,
}

impl OrderSystem {
    pub async fn start() -> Self {
        Self::with_services(2).await
    }

    pub async fn with_services(count: usize) -> Self {
        let services = vec![service::Config::default(); count];
        let spec = SystemSpec { engines: Vec::new(), services, ..SystemSpec::default() };
        let system = System::start(spec).await;
        let plan = WireFaults::default();
        let mut upstreams = Vec::new();
        for part in &system.endpoints {
            let upstream = Upstream::new(Mutex::new(part.rpc));
            upstreams.push(upstream.clone());
            let proxy = wire_proxy::spawn(upstream, plan.clone()).await;
            let entry = json!({
                "host": format!("host-{}", part.id),
                "zone": part.zone,
                "model": part.model,
                "rpc": proxy,
            });
            let answer = system.set(&format!("endpoints/{}", part.id), &entry).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        system.wait_until_settled().await;
        let orders = Self { system, plan, upstreams };
        orders.wait_until_claims_are_complete().await;
        orders
    }

    /// Polls until every claim shard has exactly one owner that has read all claims of the shard.
    pub async fn wait_until_claims_are_complete(&self) {
        for _ in 0..MAX_POLLS {
            let mut owners = vec![0; SHARD_COUNT as usize];
            for entry in self.system.entries.iter().filter(|entry| entry.daemon.is_running()) {
                for (shard, status) in self.shards(entry.admin).await.iter().enumerate() {
                    let is_ready = status["is_owner"] == true && status["is_complete"] == true;
                    owners[shard] += usize::from(is_ready);
                }
            }
            if owners.iter().all(|count| *count == 1) {
                return;
            }
            sleep(POLL).await;
        }
        panic!("some claim shards have no single owner with complete claims");
    }

    /// Makes the proxy of an endpoint forward new connections to another address.
    pub fn redirect(&self, index: usize, upstream: SocketAddr) {
        *self.upstreams[index].lock().expect("lock is not poisoned") = upstream;
    }

    async fn shards(&self, admin: SocketAddr) -> Vec<Value> {
        let req = HttpRequest::new(Method::GET, "/dump");
        let dump = self.system.client.send(admin, "", req).await.document;
        dump["claims"].as_array().cloned().unwrap_or_default()
    }

    /// Kills an endpoint daemon and restarts it at the same addresses, behind its proxy.
    pub async fn restart_endpoint(&mut self, index: usize) {
        let part = &mut self.system.endpoints[index];
        part.daemon.kill();
        let (daemon, addresses) = RunningDaemon::start(&part.config).await;
        part.daemon = daemon;
        part.rpc = addresses.rpc.expect("endpoint daemons listen for RPC");
        *self.upstreams[index].lock().expect("lock is not poisoned") = part.rpc;
        self.system.wait_until_settled().await;
    }

    /// Sends an order with an idempotency key through an entry.
    pub async fn order(&self, entry: usize, key: Option<&str>) -> Answer {
        let http = self.system.entries[entry].http;
        order(&self.system.client, http, key).await
    }

    /// Returns how many times the services ran the key, by their own records.
    pub fn runs(&self, key: &str) -> usize {
        let records = self.system.services.iter().map(|service| service.records());
        records
            .flat_map(|records| records.executions)
            .filter(|execution| execution.key.as_deref() == Some(key))
            .count()
    }

    /// Returns the number of executions that the services recorded.
    pub fn all_runs(&self) -> usize {
        self.system.services.iter().map(|service| service.records().executions.len()).sum()
    }
}

/// Sends an order with an idempotency key to an entry.
pub async fn order(client: &Client, entry: SocketAddr, key: Option<&str>) -> Answer {
    let path = format!("/v1/services/{SERVICE}/orders");
    client.order(entry, "chiclayo", &path, key, &json!({"aprons": 12})).await
}

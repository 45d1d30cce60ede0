use crate::{
    support::{Answer, Client, RunningDaemon, SERVICE, System, SystemSpec},
    wire_proxy::{self, Upstream, WirePlan},
};
use cassiagw_core::claims::SHARD_COUNT;
use cassiagw_standins::service;
use cassiagw_surfaces::http::HttpRequest;
use hyper::Method;
use serde_json::{Value, json};
use std::{net::SocketAddr, sync::Mutex, time::Duration};
use tokio::time::sleep;

/// Looks before a test gives up, and the time between two.
const MAX_POLLS: usize = 1_500;
const POLL: Duration = Duration::from_millis(20);

/// A system of two entries and two plain services, with proxies before the endpoint daemons.
pub struct OrderSystem {
    pub system: System,
    pub plan: WirePlan,
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
        let plan = WirePlan::default();
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

    /// Polls until every shard of claims has one owner, which knows all of its claims.
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
        panic!("some shards have no owner that knows their claims");
    }

    /// Lets the proxy before an endpoint pass on to another address.
    pub fn redirect(&self, index: usize, upstream: SocketAddr) {
        *self.upstreams[index].lock().expect("not poisoned") = upstream;
    }

    async fn shards(&self, admin: SocketAddr) -> Vec<Value> {
        let req = HttpRequest::new(Method::GET, "/dump");
        let dump = self.system.client.send(admin, "", req).await.document;
        dump["claims"].as_array().cloned().unwrap_or_default()
    }

    /// Kills an endpoint daemon and starts it again behind its proxy, at another port, since its
    /// own may be taken by another test meanwhile.
    pub async fn restart_endpoint(&mut self, index: usize) {
        let part = &mut self.system.endpoints[index];
        part.daemon.kill();
        let (daemon, addresses) = RunningDaemon::start(&part.config).await;
        part.daemon = daemon;
        part.rpc = addresses.rpc.expect("endpoint daemons have it");
        *self.upstreams[index].lock().expect("not poisoned") = part.rpc;
        self.system.wait_until_settled().await;
    }

    /// Orders aprons under a key through an entry.
    pub async fn order(&self, entry: usize, key: Option<&str>) -> Answer {
        let http = self.system.entries[entry].http;
        order(&self.system.client, http, key).await
    }

    /// Times that the services ran the key, by their own records.
    pub fn runs(&self, key: &str) -> usize {
        let records = self.system.services.iter().map(|service| service.records());
        records
            .flat_map(|records| records.executions)
            .filter(|execution| execution.key.as_deref() == Some(key))
            .count()
    }

    /// Times that the services ran anything.
    pub fn all_runs(&self) -> usize {
        self.system.services.iter().map(|service| service.records().executions.len()).sum()
    }
}

/// Orders aprons under a key.
pub async fn order(client: &Client, entry: SocketAddr, key: Option<&str>) -> Answer {
    let path = format!("/v1/services/{SERVICE}/orders");
    client.order(entry, "chiclayo", &path, key, &json!({"aprons": 12})).await
}

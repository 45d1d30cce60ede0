use crate::{
    support::{Answer, SERVICE, System, SystemSpec},
    wire_proxy::{self, WirePlan},
};
use cassiagw_standins::service;
use serde_json::json;

/// A system of two entries and two plain services, with proxies before the endpoint daemons.
pub struct OrderSystem {
    pub system: System,
    pub plan: WirePlan,
}

impl OrderSystem {
    pub async fn start() -> Self {
        let services = vec![service::Config::default(); 2];
        let spec = SystemSpec { engines: Vec::new(), services, ..SystemSpec::default() };
        let system = System::start(spec).await;
        let plan = WirePlan::default();
        for part in &system.endpoints {
            let proxy = wire_proxy::spawn(part.rpc, plan.clone()).await;
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
        Self { system, plan }
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
pub async fn order(
    client: &crate::support::Client,
    entry: std::net::SocketAddr,
    key: Option<&str>,
) -> Answer {
    let path = format!("/v1/services/{SERVICE}/orders");
    client.order(entry, "chiclayo", &path, key, &json!({"aprons": 12})).await
}

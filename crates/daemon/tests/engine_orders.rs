//! Orders to engines: load slots, release of the lease, and a successor that waits out old orders.

mod support;

use cassiagw_core::{
    ledger::KvRange,
    orders::OrderConfig,
    settings::{EndpointKind, TokenHash},
};
use cassiagw_standins::{engine, weights};
use cassiagw_surfaces::kv::KvClient;
use cassiagwd::{config::EndpointConfig, endpoint::orders::OrderTask};
use serde_json::json;
use std::{sync::Arc, time::Duration};
use support::{MODEL, System, SystemSpec, deployment_of, poll};
use tokio::time::sleep;

/// Number of slots for loading weights, as the daemon's default.
const LOAD_SLOTS: usize = 2;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn granted_versions_are_loaded_within_the_slots_and_the_lease_is_released() {
    let weights = weights::spawn(weights::Config::default()).await;
    let engine = |seed| engine::Config {
        seed,
        weights: Some(weights.address),
        checks_fencing: seed % 2 == 0,
        ..engine::Config::default()
    };
    let engines: Vec<engine::Config> = (0..5).map(engine).collect();
    let system = System::start(SystemSpec { engines, ..SystemSpec::default() }).await;
    poll("v2 on every engine", || {
        weights.records().reads.iter().filter(|read| read.end_ms.is_some()).count() == 5
    })
    .await;
    assert!(weights.records().most_readers <= LOAD_SLOTS);
    for engine in &system.engines {
        let records = engine.records();
        assert!(records.orders.iter().all(|order| order.is_accepted && !order.is_stale));
    }
    let kv = KvClient::new(system.kv.address);
    let prefix = format!("/{}", deployment_of(system.kv.address));
    let unreleased = async || {
        let of = |name| KvRange::prefix(&format!("{prefix}/{name}/"));
        let orders = kv.range(&of("orders")).await.expect("the service answers");
        assert!(!orders.pairs.is_empty(), "the writers leave their records");
        let slots = kv.range(&of("load-slots")).await.expect("the service answers");
        let open = orders.pairs.iter().filter(|pair| pair.value != b"finished").count();
        open + slots.pairs.len()
    };
    while unreleased().await > 0 {
        sleep(Duration::from_millis(20)).await;
    }
}

/// A writer dies while its order is in transit to an engine that ignores fencing tokens, and the
/// order arrives after the lease expired. The successor must send its first order after that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn successor_waits_out_an_order_under_way() {
    let order_cfg = OrderConfig {
        lease: Duration::from_secs(2),
        order_timeout: Duration::from_secs(1),
        retry_delay: Duration::from_millis(50),
        ..OrderConfig::default()
    };
    let system = System::start(SystemSpec { engines: Vec::new(), ..SystemSpec::default() }).await;
    let engine =
        engine::spawn(engine::Config { checks_fencing: false, ..engine::Config::default() }).await;
    // Longer than the lease, so that the order arrives after the lease expired.
    engine.set_faults(|faults| faults.order_delay_ms = 2_600);
    let endpoint = json!({
        "host": "h", "zone": "za", "model": MODEL, "rpc": "127.0.0.1:9",
    });
    assert_eq!(system.set("endpoints/lone", &endpoint).await.status, 200);
    system.wait_until_settled().await;
    let cfg = EndpointConfig {
        id: "lone".into(),
        kind: EndpointKind::Engine,
        upstream: engine.address,
        max_running: 1,
        max_waiting: 1,
        cold_running: 1,
        load_slots: 2,
    };
    let task =
        || OrderTask::new(Arc::clone(&system.entries[0].daemon.cx), cfg.clone(), order_cfg.clone());
    let first = tokio::spawn(task().run());
    poll("the first order is in transit", || engine.records().orders_received > 0).await;
    first.abort();
    engine.set_faults(|faults| faults.order_delay_ms = 0);
    let successor = task();
    let dumps = successor.subscribe_dump();
    let second = tokio::spawn(successor.run());
    // A change that is not part of the first writer's order.
    let access = json!({
        "workspace": "hangang", "token": TokenHash::of("team-hangang"), "models": [MODEL],
        "versions": ["v2"], "adapters": ["a"],
    });
    let model = json!({
        "kind": "engine", "versions": ["v1", "v2"], "adapters": ["a"], "default_version": "v1",
    });
    assert_eq!(system.set("models/order-text", &model).await.status, 200);
    assert_eq!(system.set("access/hangang", &access).await.status, 200);
    poll("the successor's order", || {
        engine.records().orders.iter().any(|order| order.order.fence != first_fence(&engine))
    })
    .await;
    poll("the adapter in the dump", || {
        let dump = dumps.borrow();
        dump.wanted_adapters == dump.adapters && dump.adapters == ["a".into()]
    })
    .await;
    second.abort();
    let orders = engine.records().orders;
    assert!(orders.len() >= 2, "{orders:?}");
    assert!(orders.iter().all(|order| !order.is_stale), "{orders:?}");
}

fn first_fence(engine: &engine::Handle) -> u64 {
    engine.records().orders.first().map_or(0, |order| order.order.fence)
}

//! Tests of the host list and of the weight store.

use cassiagw_standins::{
    engine,
    hosts::{self, Host, HostState},
    weights,
};
use cassiagw_surfaces::{
    hosts::{HostState as ListedState, HostsClient},
    http::HttpClient,
    weights::{WeightsClient, WeightsError},
};
use serde_json::json;
use std::time::Duration;

mod common;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn host_list_lags_behind_changes() {
    let host = |state| Host { host: "h1".into(), zone: "z1".into(), state };
    let hosts = hosts::spawn(hosts::Config {
        hosts: vec![host(HostState::Live)],
        ..hosts::Config::default()
    })
    .await;
    let client = HostsClient::new(HttpClient::default(), hosts.address);
    let state = async || client.list(CALL_TIMEOUT).await.expect("host list can be read")[0].state;
    hosts.set_faults(|faults| faults.lag_ms = 3_600_000);
    hosts.set_host(host(HostState::Leaving));
    assert_eq!(state().await, ListedState::Live);
    hosts.set_faults(|faults| faults.lag_ms = 0);
    assert_eq!(state().await, ListedState::Leaving);
    let gone = json!({"host": "h1", "state": "gone"});
    assert!(common::post(hosts.address, "/admin/hosts", gone).await.status.is_success());
    assert!(client.list(CALL_TIMEOUT).await.expect("host list can be read").is_empty());
}

#[tokio::test]
async fn weights_are_measured_or_reported_unknown() {
    let cfg = weights::Config { known: vec!["m/v1".into()], ..weights::Config::default() };
    let bytes = cfg.weight_bytes as u64;
    let weights = weights::spawn(cfg).await;
    let client = WeightsClient::new(HttpClient::default(), weights.address);
    assert_eq!(client.measure("m", "v1", CALL_TIMEOUT).await, Ok(bytes));
    let unknown = client.measure("m", "v2", CALL_TIMEOUT).await;
    assert!(matches!(unknown, Err(WeightsError::Unknown { .. })), "{unknown:?}");
}

/// With more concurrent loads than `full_rate_readers`, the loads share the store's full rate.
#[tokio::test]
async fn engines_that_load_at_once_share_the_rate() {
    let weights = weights::spawn(weights::Config {
        full_rate_readers: 1,
        weight_bytes: 32 * 1024,
        ..weights::Config::default()
    })
    .await;
    let mut engines = Vec::new();
    for _ in 0..4 {
        let cfg = engine::Config { weights: Some(weights.address), ..engine::Config::default() };
        engines.push(engine::spawn(cfg).await);
    }
    let load = json!({"fence": 1, "kind": "load_version", "model": "order-text", "version": "v2"});
    let loads = engines.iter().map(|engine| common::post(engine.address, "/orders", load.clone()));
    for answer in futures::future::join_all(loads).await {
        assert_eq!(answer.status.as_u16(), 200);
    }
    let reads = weights.records().reads;
    let first = reads.iter().map(|read| read.start_ms).min().expect("weights were read");
    let ends: Option<Vec<u64>> = reads.iter().map(|read| read.end_ms).collect();
    let last = ends.expect("all reads ended").into_iter().max().expect("weights were read");
    assert_eq!(reads.len(), 4);
    // At 1 000 KiB/s, four transfers of 32 KiB take at least 128 ms.
    assert!(last - first >= 120, "{} ms", last - first);
}

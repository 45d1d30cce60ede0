//! Cold endpoints are not overloaded, whatever the number of entries.

mod support;

use cassiagw_standins::{engine, server::ColdConfig};
use futures::future::join_all;
use serde_json::json;
use support::{MODEL, SERVICE, System, SystemSpec};

const MAX_TOKENS: u32 = 12;
const ENTRIES: usize = 6;

fn cold_engine(seed: u64) -> engine::Config {
    let cold = ColdConfig { limit: 2.0, per_request: 0.5, per_s: 0.0, ..ColdConfig::default() };
    engine::Config {
        seed,
        decode_per_token_us: 2_000,
        cold: Some(cold),
        ..engine::Config::default()
    }
}

/// Sends `count` prompts concurrently through all entries; all must be answered completely.
async fn burst(system: &System, name: &str, count: usize) {
    let calls = (0..count).map(|number| async move {
        let entry = system.entries[number % ENTRIES].http;
        let prompt = format!("{name} {number}");
        let answer = system.client.complete(entry, "chiclayo", MODEL, &prompt, MAX_TOKENS).await;
        assert!(answer.is_whole, "{prompt}: {answer:?}");
    });
    join_all(calls).await;
}

fn overloads(system: &System) -> Vec<u64> {
    system.engines.iter().map(|engine| engine.records().overload_cold).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_entries_do_not_overload_cold_endpoints() {
    let engines = vec![cold_engine(1), cold_engine(2)];
    let spec = SystemSpec { entries: ENTRIES, engines, running: (16, 2), ..SystemSpec::default() };
    let system = System::start(spec).await;
    burst(&system, "after the start", 60).await;
    assert_eq!(overloads(&system), [0, 0]);
    assert!(system.engines.iter().all(|engine| engine.records().most_concurrent > 2));
    system.engines[0].set_faults(|faults| faults.crash = true);
    burst(&system, "after a restart", 60).await;
    assert_eq!(overloads(&system), [0, 0]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_wait_for_room_at_a_cold_service() {
    let spec = SystemSpec { engines: Vec::new(), running: (8, 1), ..SystemSpec::default() };
    let system = System::start(spec).await;
    let path = format!("/v1/services/{SERVICE}/orders");
    let calls = (0..32).map(|number| {
        let (system, path) = (&system, &path);
        async move {
            let (entry, key) = (system.entries[number % 2].http, format!("order-{number}"));
            let body = json!({"number": number});
            let answer = system.client.order(entry, "chiclayo", path, Some(&key), &body).await;
            assert_eq!(answer.status, 200, "{number}: {answer:?}");
        }
    });
    join_all(calls).await;
    let records = system.services[0].records();
    assert_eq!((records.executions.len(), records.duplicated), (32, 0));
}

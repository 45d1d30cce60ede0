//! End-to-end reuse of a prompt: entry, endpoint daemon, engine and store.

mod support;

use cassiagw_standins::{
    engine::{self, expected_completion},
    store,
};
use serde_json::json;
use std::time::Duration;
use support::{MODEL, System, SystemSpec, poll};
use tokio::time::sleep;

const PIECE_TOKENS: u32 = 100;
const PIECES: usize = 5;
/// Maximum number of repeats of the prompt: on a busy machine a fetch may finish too late to be
/// used.
const MAX_RETURNS: usize = 20;

fn engine_config(seed: u64) -> engine::Config {
    engine::Config {
        seed,
        piece_tokens: PIECE_TOKENS as usize,
        prefill_per_token_us: 1_000,
        faults: engine::Faults { event_lag_ms: 0, ..engine::Faults::default() },
        ..engine::Config::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_prompt_that_returns_after_its_endpoint_died_is_not_recomputed() {
    let engines = vec![engine_config(1), engine_config(2)];
    let spec = SystemSpec { engines, piece_tokens: PIECE_TOKENS, ..SystemSpec::default() };
    let mut system = System::start(spec).await;
    let store = store::spawn(store::Config::default()).await;
    let entry = json!({"zone": "za", "address": store.address});
    assert_eq!(system.set("stores/s1", &entry).await.status, 200);
    system.wait_until_settled().await;
    let prompt: String = (0..PIECES * 100 + 3).map(|n| format!("word{n} ")).collect();
    let expected = expected_completion(MODEL, "v1", None, &prompt, 4);
    let http = system.entries[0].http;
    let first = system.client.complete(http, "chiclayo", MODEL, &prompt, 4).await;
    assert!(first.is_whole && first.tokens == expected, "{first:?}");
    // Each piece has a block and a manifest.
    poll("the pieces are stored", || store.records().puts >= 2 * PIECES as u64).await;

    let ran = |system: &System| system.engines.iter().position(|e| !e.records().runs.is_empty());
    let first_engine = ran(&system).expect("one engine ran the prompt");
    system.endpoints[first_engine].daemon.kill();
    let other = &system.engines[1 - first_engine];
    for _ in 0..MAX_RETURNS {
        let answer = system.client.complete(http, "chiclayo", MODEL, &prompt, 4).await;
        assert!(answer.is_whole && answer.tokens == expected, "{answer:?}");
        let cached = other.records().runs.last().map_or(0, |run| run.cached_tokens);
        if cached == PIECES * PIECE_TOKENS as usize {
            break;
        }
        other.set_faults(|faults| faults.drop_cache = true);
        sleep(Duration::from_millis(100)).await;
    }
    let seen = other.records();
    let last = seen.runs.last().expect("the other engine ran the prompt");
    assert_eq!(last.cached_tokens, PIECES * PIECE_TOKENS as usize, "{seen:?}");
    assert!(seen.imports >= PIECES as u64 && seen.bad_imports == 0, "{seen:?}");
    let metrics = system.endpoints[1 - first_engine].daemon.cx.metrics.render();
    let metrics = String::from_utf8(metrics).expect("metrics are UTF-8");
    let fetched = metrics.lines().find(|line| line.contains("kind=\"fetched_tokens\""));
    let count = fetched.and_then(|line| line.split_whitespace().last()?.parse::<u64>().ok());
    assert!(count.is_some_and(|count| count >= 500), "{fetched:?}");
}

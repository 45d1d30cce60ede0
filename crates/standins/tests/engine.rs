//! Tests of the engine stand-in: completions, prefix cache, faults and orders.

mod common;

use cassiagw_core::ids::PieceKey;
use cassiagw_standins::{
    engine::{Config, Handle, RunOutcome, expected_completion, spawn},
    server::ColdConfig,
};
use cassiagw_surfaces::{
    engine::{CompletionSpec, CompletionStream, EngineClient, EngineError, EngineEvent, Usage},
    http::{HttpClient, HttpRequest},
};
use common::post;
use hyper::Method;
use serde_json::{Value, json};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

fn client(engine: &Handle) -> EngineClient {
    EngineClient::new(HttpClient::default(), engine.address)
}

fn spec(id: &str, prompt: &str, max_tokens: u32) -> CompletionSpec {
    CompletionSpec {
        request_id: id.into(),
        model: "order-text".into(),
        version: Some("v1".into()),
        adapter: None,
        cache_salt: "chiclayo".into(),
        prompt: prompt.into(),
        max_tokens,
        priority: 0,
        cache_keys: Vec::new(),
        stream: true,
    }
}

fn key(byte: u8) -> PieceKey {
    PieceKey([byte; 16])
}

fn words(count: usize) -> String {
    (0..count).map(|n| format!("w{n}")).collect::<Vec<_>>().join(" ")
}

fn expected(prompt: &str, max_tokens: usize) -> Vec<String> {
    expected_completion("order-text", "v1", None, prompt, max_tokens)
}

/// Collects tokens until the final event or an error.
async fn read(
    stream: &mut CompletionStream,
) -> (Vec<String>, Result<(String, Usage), EngineError>) {
    let mut tokens = Vec::new();
    loop {
        match stream.next().await {
            Ok(Some(EngineEvent::Token(token))) => {
                tokens.push(token.strip_prefix(' ').expect("token starts with a space").to_owned());
            }
            Ok(Some(EngineEvent::End { reason, usage })) => return (tokens, Ok((reason, usage))),
            Ok(None) => panic!("stream ended without its final event"),
            Err(error) => return (tokens, Err(error)),
        }
    }
}

async fn complete(engine: &Handle, spec: &CompletionSpec) -> (Vec<String>, Usage) {
    let mut stream = client(engine).start(spec, TIMEOUT).await.expect("run starts");
    let (tokens, end) = read(&mut stream).await;
    let (reason, usage) = end.expect("run finishes");
    assert_eq!(reason, "length");
    (tokens, usage)
}

#[tokio::test]
async fn completion_continues_on_another_replica_from_delivered_tokens() {
    let (one, two) = (spawn(Config::default()).await, spawn(Config::default()).await);
    let (first, _) = complete(&one, &spec("a", "how many aprons", 3)).await;
    let extended = format!("how many aprons {}", first.join(" "));
    let (rest, usage) = complete(&two, &spec("b", &extended, 4)).await;
    assert_eq!([first, rest].concat(), expected("how many aprons", 7));
    assert_eq!((usage.prompt_tokens, usage.completion_tokens), (6, 4));
}

struct CacheCase {
    name: &'static str,
    change: fn(&mut CompletionSpec),
    cached: u32,
}

#[tokio::test]
async fn complete_pieces_are_reused_only_within_their_scope() {
    let cases = [
        CacheCase { name: "same prompt", change: |_| {}, cached: 20 },
        CacheCase { name: "longer tail", change: |s| s.prompt += " more", cached: 20 },
        CacheCase { name: "first key only", change: |s| s.cache_keys.truncate(1), cached: 10 },
        CacheCase { name: "no keys", change: |s| s.cache_keys.clear(), cached: 0 },
        CacheCase { name: "other first key", change: |s| s.cache_keys[0] = key(9), cached: 0 },
        CacheCase { name: "other workspace", change: |s| s.cache_salt = "h".into(), cached: 0 },
        CacheCase { name: "other version", change: |s| s.version = Some("v2".into()), cached: 0 },
        CacheCase { name: "adapter", change: |s| s.adapter = Some("a".into()), cached: 0 },
    ];
    let versions = vec!["v2".to_owned(), "v1".to_owned()];
    for CacheCase { name, change, cached } in cases {
        let cfg = Config {
            piece_tokens: 10,
            versions: versions.clone(),
            adapters: vec!["a".into()],
            ..Config::default()
        };
        let engine = spawn(cfg).await;
        let mut spec = spec("a", &words(25), 2);
        spec.cache_keys = vec![key(1), key(2), key(3)];
        complete(&engine, &spec).await;
        spec.request_id = "b".into();
        change(&mut spec);
        let (_, usage) = complete(&engine, &spec).await;
        assert_eq!(usage.cached_tokens, cached, "{name}");
        assert_eq!(engine.records().wrong_reads, 0, "{name}");
    }
}

#[tokio::test]
async fn cache_holds_the_most_recently_used_pieces() {
    let cfg = Config { piece_tokens: 10, cache_pieces: 3, ..Config::default() };
    let engine = spawn(cfg).await;
    let mut long = spec("a", &words(20), 1);
    long.cache_keys = vec![key(1), key(2)];
    complete(&engine, &long).await;
    let mut other = spec("b", &format!("x {}", words(19)), 1);
    other.cache_keys = vec![key(3), key(4)];
    complete(&engine, &other).await;
    // Piece 4 evicted piece 1; piece 2 is not reused without the piece before it.
    long.request_id = "c".into();
    assert_eq!(complete(&engine, &long).await.1.cached_tokens, 0);
}

#[tokio::test]
async fn cache_keys_of_another_prompt_change_the_output_and_are_counted() {
    let engine = spawn(Config { piece_tokens: 10, ..Config::default() }).await;
    let mut first = spec("a", &words(20), 2);
    first.cache_keys = vec![key(1), key(2)];
    complete(&engine, &first).await;
    let mut wrong = spec("b", &format!("x {}", words(19)), 2);
    wrong.cache_keys = first.cache_keys.clone();
    let (tokens, _) = complete(&engine, &wrong).await;
    assert_ne!(tokens, expected(&wrong.prompt, 2));
    assert_eq!(engine.records().wrong_reads, 1);
}

struct ImportCase {
    name: &'static str,
    damage: fn(Vec<u8>) -> Vec<u8>,
    into: u8,
    is_bad: bool,
}

#[tokio::test]
async fn imports_are_accepted_unverified_and_damage_is_counted() {
    let cut = |mut bytes: Vec<u8>| {
        bytes.truncate(bytes.len() - 1);
        bytes
    };
    let flip = |mut bytes: Vec<u8>| {
        let index = bytes.len() - 7;
        bytes[index] ^= 1;
        bytes
    };
    let cases = [
        ImportCase { name: "whole", damage: |bytes| bytes, into: 1, is_bad: false },
        ImportCase { name: "cut", damage: cut, into: 1, is_bad: true },
        ImportCase { name: "flipped", damage: flip, into: 1, is_bad: true },
        ImportCase { name: "empty", damage: |_| Vec::new(), into: 1, is_bad: true },
        ImportCase { name: "swapped", damage: |bytes| bytes, into: 2, is_bad: true },
    ];
    let cfg = || Config { piece_tokens: 10, ..Config::default() };
    let source = spawn(cfg()).await;
    let mut one = spec("a", &words(15), 3);
    one.cache_keys = vec![key(1)];
    complete(&source, &one).await;
    let block = client(&source)
        .export_block(key(1), TIMEOUT)
        .await
        .expect("export succeeds")
        .expect("piece is cached");
    for ImportCase { name, damage, into, is_bad } in cases {
        let engine = spawn(cfg()).await;
        let bytes = damage(block.to_vec());
        client(&engine)
            .import_block(key(into), bytes.into(), TIMEOUT)
            .await
            .expect("import succeeds");
        let mut spec = one.clone();
        spec.cache_keys = vec![key(into)];
        let (tokens, usage) = complete(&engine, &spec).await;
        assert_eq!(usage.cached_tokens, 10, "{name}");
        assert_eq!(tokens != expected(&spec.prompt, 3), is_bad, "{name}");
        let records = engine.records();
        assert_eq!(records.bad_imports, u64::from(is_bad), "{name}");
        assert_eq!(records.wrong_reads, u64::from(is_bad), "{name}");
    }
}

#[tokio::test]
async fn cut_stream_is_an_error_and_resumes_without_a_gap() {
    let engine = spawn(Config { decode_per_token_us: 200, ..Config::default() }).await;
    engine.set_faults(|faults| {
        faults.cut_streams = 3;
        faults.cut_stream_after = 4;
    });
    let client = client(&engine);
    let mut stream =
        client.start(&spec("a", "long manual", 20), TIMEOUT).await.expect("run starts");
    let mut tokens = Vec::new();
    let mut cuts = 0;
    loop {
        let (more, end) = read(&mut stream).await;
        tokens.extend(more);
        match end {
            Ok(_) => break,
            Err(EngineError::Cut(_)) => cuts += 1,
            Err(error) => panic!("{error}"),
        }
        stream = client.resume("a", tokens.len(), TIMEOUT).await.expect("stream resumes");
    }
    assert_eq!(tokens, expected("long manual", 20));
    assert_eq!(cuts, 3);
    assert_eq!(engine.records().runs.len(), 1);
}

#[tokio::test]
async fn streams_of_canceled_and_crashed_runs_end_with_an_error() {
    let cfg = Config { decode_per_token_us: 60_000_000, ..Config::default() };
    let engine = spawn(cfg).await;
    let client = client(&engine);
    let mut canceled = client.start(&spec("a", "x", 20), TIMEOUT).await.expect("run starts");
    client.cancel("a").await.expect("cancel succeeds");
    assert!(matches!(read(&mut canceled).await.1, Err(EngineError::Aborted)));
    let mut crashed = client.start(&spec("b", "x", 20), TIMEOUT).await.expect("run starts");
    let boot = engine.records().boot;
    engine.set_faults(|faults| faults.crash = true);
    assert!(matches!(read(&mut crashed).await.1, Err(EngineError::Cut(_))));
    let resumed = client.resume("b", 0, TIMEOUT).await;
    assert!(matches!(resumed, Err(EngineError::Refused { status: 404, .. })), "{resumed:?}");
    let records = engine.records();
    assert_ne!(records.boot, boot);
    let outcomes: Vec<RunOutcome> = records.runs.iter().map(|run| run.outcome).collect();
    assert_eq!(outcomes, [RunOutcome::Canceled, RunOutcome::Failed]);
}

#[tokio::test]
async fn cold_engine_fails_all_requests_above_its_limit_and_warms_up() {
    let cold = ColdConfig { limit: 2.0, per_request: 1.0, per_s: 0.0, ..ColdConfig::default() };
    // At least 60 s per token, so that runs that generate a token outlast the test.
    let slow = 60_000_000;
    let engine =
        spawn(Config { cold: Some(cold), decode_per_token_us: slow, ..Config::default() }).await;
    let client = client(&engine);
    let mut streams = Vec::new();
    for id in ["a", "b", "c"] {
        streams.push(client.start(&spec(id, "x", 1), TIMEOUT).await.expect("run starts"));
    }
    for stream in &mut streams {
        assert!(matches!(read(stream).await.1, Err(EngineError::Cut(_))));
    }
    assert_eq!(engine.records().overload_cold, 1);
    for id in ["d", "e"] {
        complete(&engine, &spec(id, "x", 0)).await;
    }
    // The two served requests have raised the limit to 4.
    for id in ["f", "g", "h", "i"] {
        streams.push(client.start(&spec(id, "x", 1), TIMEOUT).await.expect("run starts"));
    }
    assert_eq!(engine.records().overload_cold, 1);
    engine.set_faults(|faults| faults.turn_cold = true);
    streams.push(client.start(&spec("j", "x", 1), TIMEOUT).await.expect("run starts"));
    assert_eq!(engine.records().overload_cold, 2);
}

#[tokio::test]
async fn waiting_requests_run_by_priority() {
    let cfg = Config { max_running: 1, decode_per_token_us: 1_000, ..Config::default() };
    let engine = spawn(cfg).await;
    let client = client(&engine);
    let first = client.start(&spec("first", "x", u32::MAX), TIMEOUT).await.expect("run starts");
    let mut streams = Vec::new();
    for (id, priority) in [("low", -1), ("high", 5), ("middle", 1)] {
        let spec = CompletionSpec { priority, ..spec(id, "x", 1) };
        streams.push(client.start(&spec, TIMEOUT).await.expect("run starts"));
    }
    client.cancel("first").await.expect("cancel succeeds");
    drop(first);
    for stream in &mut streams {
        read(stream).await.1.expect("run finishes");
    }
    let mut runs = engine.records().runs;
    runs.sort_by_key(|run| run.started);
    let order: Vec<&str> = runs.iter().map(|run| &run.request_id[..]).collect();
    assert_eq!(order, ["first", "high", "middle", "low"]);
}

struct EventCase {
    name: &'static str,
    lag_ms: u64,
    gap_permille: u16,
    events: usize,
    next: u64,
}

#[tokio::test]
async fn faults_delay_and_drop_cache_events() {
    let cases = [
        EventCase { name: "whole", lag_ms: 0, gap_permille: 0, events: 4, next: 4 },
        EventCase { name: "late", lag_ms: 3_600_000, gap_permille: 0, events: 0, next: 0 },
        EventCase { name: "gaps", lag_ms: 0, gap_permille: 1_000, events: 0, next: 4 },
    ];
    for EventCase { name, lag_ms, gap_permille, events, next } in cases {
        let cfg = Config { piece_tokens: 10, cache_pieces: 2, ..Config::default() };
        let engine = spawn(cfg).await;
        engine.set_faults(|faults| {
            faults.event_lag_ms = lag_ms;
            faults.event_gap_permille = gap_permille;
        });
        // Three pieces in a cache of two: three `stored` events and one `removed` event.
        let mut spec = spec("a", &words(30), 1);
        spec.cache_keys = vec![key(1), key(2), key(3)];
        complete(&engine, &spec).await;
        let page = client(&engine).cache_events(0, TIMEOUT).await.expect("request succeeds");
        assert_eq!((page.events.len(), page.next), (events, next), "{name}: {page:?}");
    }
}

struct OrderCase {
    name: &'static str,
    checks_fencing: bool,
    orders: Vec<(Value, u16)>,
    versions: Value,
}

#[tokio::test]
async fn orders_load_and_unload_versions() {
    let load = |fence: u64, version: &str| json!({"fence": fence, "kind": "load_version", "model": "order-text", "version": version});
    let unload = |fence: u64, version: &str| json!({"fence": fence, "kind": "unload_version", "model": "order-text", "version": version});
    let cases = [
        OrderCase {
            name: "lower fencing token rejected",
            checks_fencing: true,
            orders: vec![(load(5, "v2"), 200), (unload(4, "v2"), 409), (unload(5, "v1"), 200)],
            versions: json!(["v2"]),
        },
        OrderCase {
            name: "lower fencing token accepted",
            checks_fencing: false,
            orders: vec![(load(5, "v2"), 200), (unload(4, "v2"), 200)],
            versions: json!(["v1"]),
        },
        OrderCase {
            name: "invalid orders",
            checks_fencing: true,
            orders: vec![
                (json!({"fence": 1, "kind": "load_version", "model": "x", "version": "v"}), 404),
                (json!({"fence": 1, "kind": "unknown"}), 400),
                (load(1, "v2"), 200),
                (load(1, "v3"), 507),
            ],
            versions: json!(["v1", "v2"]),
        },
    ];
    for OrderCase { name, checks_fencing, orders, versions } in cases {
        let cfg = Config { checks_fencing, load_ms: 1, max_versions: 2, ..Config::default() };
        let engine = spawn(cfg).await;
        for (order, status) in orders {
            let answer = post(engine.address, "/orders", order.clone()).await;
            assert_eq!(answer.status.as_u16(), status, "{name}: {order}");
        }
        let req = HttpRequest::new(Method::GET, "/orders/state");
        let state =
            HttpClient::default().call(engine.address, req).await.expect("request succeeds");
        assert_eq!(
            state.json::<Value>().expect("response is JSON")["versions"],
            versions,
            "{name}"
        );
    }
}

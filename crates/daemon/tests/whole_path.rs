//! Complete path of a request through entry and endpoint daemons in one process.

mod support;

use cassiagw_standins::engine::{self, expected_completion};
use futures::future::join_all;
use serde_json::json;
use support::{MODEL, SERVICE, System, SystemSpec, poll};

/// Maximum number of tokens of each completion.
const MAX_TOKENS: u32 = 12;

fn engine_config(seed: u64) -> engine::Config {
    engine::Config { seed, decode_per_token_us: 2_000, ..engine::Config::default() }
}

fn expected(prompt: &str) -> Vec<String> {
    expected_completion(MODEL, "v1", None, prompt, MAX_TOKENS as usize)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_caller_gets_its_own_whole_answer() {
    let engines = vec![engine_config(1), engine_config(2)];
    let system = System::start(SystemSpec { engines, ..SystemSpec::default() }).await;
    let calls = (0..40).map(|number| {
        let (system, workspace) = (&system, ["chiclayo", "hangang"][number % 2]);
        async move {
            let prompt = format!("how many carts are in hut {number}");
            let entry = system.entries[number % 2].http;
            let answer = system.client.complete(entry, workspace, MODEL, &prompt, MAX_TOKENS).await;
            assert!(answer.is_whole, "{number}: {answer:?}");
            assert_eq!(answer.tokens, expected(&prompt), "{number}");
        }
    });
    join_all(calls).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_engine_stream_is_resumed_without_a_repeated_or_missing_token() {
    let system =
        System::start(SystemSpec { engines: vec![engine_config(1)], ..SystemSpec::default() });
    let system = system.await;
    for cut_after in [0, 1, 5, MAX_TOKENS - 1] {
        system.engines[0].set_faults(|faults| {
            faults.cut_stream_after = cut_after;
            faults.cut_streams = 2;
        });
        let prompt = format!("cut after {cut_after}");
        let entry = system.entries[0].http;
        let answer = system.client.complete(entry, "chiclayo", MODEL, &prompt, MAX_TOKENS).await;
        assert!(answer.is_whole, "{cut_after}: {answer:?}");
        assert_eq!(answer.tokens, expected(&prompt), "{cut_after}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_endpoint_daemon_costs_no_token() {
    let engines = vec![
        engine::Config { decode_per_token_us: 30_000, ..engine_config(1) },
        engine::Config { decode_per_token_us: 30_000, ..engine_config(2) },
    ];
    let mut system = System::start(SystemSpec { engines, ..SystemSpec::default() }).await;
    let (client, entry) = (system.client.clone(), system.entries[0].http);
    let running = tokio::spawn(async move {
        client.complete(entry, "chiclayo", MODEL, "a long answer", MAX_TOKENS).await
    });
    let started = || system.engines.iter().position(|engine| !engine.records().runs.is_empty());
    poll("an engine runs the request", || started().is_some()).await;
    let index = started().expect("poll has seen it");
    system.endpoints[index].daemon.kill();
    let answer = running.await.expect("the task does not panic");
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.tokens, expected("a long answer"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_cuts_off_no_request() {
    let engines = vec![engine::Config { decode_per_token_us: 20_000, ..engine_config(1) }];
    let mut system = System::start(SystemSpec { engines, ..SystemSpec::default() }).await;
    let (client, entry) = (system.client.clone(), system.entries[0].http);
    let running = tokio::spawn(async move {
        client.complete(entry, "hangang", MODEL, "let me finish", MAX_TOKENS).await
    });
    poll("the engine runs the request", || !system.engines[0].records().runs.is_empty()).await;
    system.endpoints[0].daemon.shut_down().await;
    system.entries[0].daemon.shut_down().await;
    let answer = running.await.expect("the task does not panic");
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.tokens, expected("let me finish"));
}

struct BadRequest {
    name: &'static str,
    path: &'static str,
    token: &'static str,
    body: String,
    status: u16,
    code: &'static str,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_requests_get_clear_errors_and_do_not_run() {
    let system = System::start(SystemSpec::default()).await;
    let valid = json!({"model": MODEL, "prompt": "x"}).to_string();
    let completion = "/v1/completions";
    let case = |name, path, token, body: &str, status, code| BadRequest {
        name,
        path,
        token,
        body: body.to_owned(),
        status,
        code,
    };
    let unknown = json!({"model": "no-such", "prompt": "x"}).to_string();
    let service = json!({"model": SERVICE, "prompt": "x"}).to_string();
    let no_tokens = json!({"model": MODEL, "prompt": "x", "max_tokens": 0}).to_string();
    let large = "x".repeat(5 * 1024 * 1024);
    let cases = [
        case("no token", completion, "", &valid, 401, "unauthorized"),
        case("wrong token", completion, "guess", &valid, 401, "unauthorized"),
        case("operator is no caller", completion, "operator", &valid, 401, "unauthorized"),
        case("not JSON", completion, "caller-chiclayo", "{", 400, "bad_json"),
        case("no prompt", completion, "caller-chiclayo", "{\"model\":\"m\"}", 400, "bad_json"),
        case("unknown model", completion, "caller-chiclayo", &unknown, 404, "unknown_model"),
        case("a service", completion, "caller-chiclayo", &service, 404, "unknown_model"),
        case("no tokens", completion, "caller-chiclayo", &no_tokens, 400, "invalid_field"),
        case("large", completion, "caller-chiclayo", &large, 413, "body_too_large"),
        case("no path", "/v2/completions", "caller-chiclayo", &valid, 404, "not_found"),
        case("no service", "/v1/services/x/y", "caller-chiclayo", "", 404, "unknown_model"),
    ];
    for case in cases {
        let req = cassiagw_surfaces::http::HttpRequest::new(hyper::Method::POST, case.path)
            .with_body(case.body);
        let answer = system.client.send(system.entries[0].http, case.token, req).await;
        assert_eq!((answer.status, answer.code()), (case.status, case.code), "{}", case.name);
        assert_eq!(answer.not_run(), Some(true), "{}", case.name);
    }
    assert!(system.engines.iter().all(|engine| engine.records().runs.is_empty()));
    assert!(system.services.iter().all(|service| service.records().executions.is_empty()));
}

//! Snapshot tests of sessions with changes of settings, prompts and orders in one system.

mod support;

use cassiagw_standins::engine::{self, expected_completion};
use cassiagw_surfaces::http::HttpRequest;
use hyper::Method;
use serde_json::{Value, json};
use std::fmt::Write;
use support::{Answer, MODEL, OPERATOR_TOKEN, SERVICE, System, SystemSpec, poll};

/// Number of tokens in one piece of the prefix cache.
const PIECE_TOKENS: usize = 10;
/// Number of prompts in each step that records which zones run them.
const REQUESTS: usize = 6;
/// Number of tokens of the response that is in progress while weights are swapped.
const LONG_ANSWER_TOKENS: u32 = 300;
/// Maximum number of requests until a zone that is in service again gets one.
const MAX_REQUESTS: usize = 400;

fn spec(engines: usize, decode_per_token_us: u64) -> SystemSpec {
    let engine = |seed| engine::Config {
        seed,
        decode_per_token_us,
        piece_tokens: PIECE_TOKENS,
        ..engine::Config::default()
    };
    SystemSpec {
        engines: (1..=engines as u64).map(engine).collect(),
        piece_tokens: PIECE_TOKENS as u32,
        ..SystemSpec::default()
    }
}

/// Running system and the transcript for the snapshot.
struct Session {
    system: System,
    text: String,
}

impl Session {
    async fn start(spec: SystemSpec) -> Self {
        Self { system: System::start(spec).await, text: String::new() }
    }

    fn line(&mut self, line: &str) {
        writeln!(self.text, "{line}").expect("writing to a string cannot fail");
    }

    async fn set(&mut self, path: &str, value: &Value) {
        let answer = self.system.set(path, value).await;
        self.line(&format!("PUT /v1/settings/{path} {value}"));
        self.line(&format!("  {} {}", answer.status, answer.document));
        self.system.wait_until_settled().await;
        self.line("  applied by every daemon");
    }

    async fn prompt(&mut self, prompt: &str, tokens: u32) -> Answer {
        let entry = self.system.entries[0].http;
        self.system.client.complete(entry, "chiclayo", MODEL, prompt, tokens).await
    }

    /// Number of runs of each engine so far.
    fn runs(&self) -> Vec<usize> {
        self.system.engines.iter().map(|engine| engine.records().runs.len()).collect()
    }

    /// Sends prompts one after another and records how many runs they took and which zone ran none.
    async fn prompts(&mut self, name: &str) {
        let before = self.runs();
        for number in 0..REQUESTS {
            let prompt = format!("{name} {number}");
            let answer = self.prompt(&prompt, 4).await;
            assert!(answer.is_whole, "{prompt}: {answer:?}");
            assert_eq!(answer.tokens, expected_completion(MODEL, "v1", None, &prompt, 4));
        }
        let run_counts: Vec<usize> =
            self.runs().iter().zip(before).map(|(now, was)| now - was).collect();
        let total: usize = run_counts.iter().sum();
        self.line(&format!("{REQUESTS} prompts {name:?}: all complete, {total} runs"));
        let zones = ["za", "zb"].into_iter().zip(&run_counts).filter(|(_, runs)| **runs == 0);
        for (zone, _) in zones.collect::<Vec<_>>() {
            self.line(&format!("  no runs in {zone}"));
        }
    }

    fn last_run(&self) -> engine::RunRecord {
        let runs = self.system.engines.iter().flat_map(|engine| engine.records().runs);
        runs.last().expect("an engine ran the prompt")
    }
}

/// Transcript line of an answer; the weight version is found by comparing the tokens.
fn answer_line(what: &str, prompt: &str, answer: &Answer) -> String {
    let tokens = answer.tokens.len();
    let matches =
        |version| expected_completion(MODEL, version, None, prompt, tokens) == answer.tokens;
    let version = ["v1", "v2"].into_iter().find(|version| matches(version)).unwrap_or("none");
    let end = if answer.is_whole { "complete" } else { "incomplete" };
    let usage = &answer.document["usage"];
    format!("{what}: {} {end}, {tokens} tokens of {version}, {usage}", answer.status)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_leaves_and_returns() {
    let mut session = Session::start(spec(2, 0)).await;
    session.set("zones/za", &json!({"region": "r", "state": "out"})).await;
    session.prompts("while za is out").await;
    session.set("zones/za", &json!({"region": "r", "state": "in"})).await;
    let before = session.runs()[0];
    let mut sent = 0;
    while session.runs()[0] == before && sent < MAX_REQUESTS {
        let answer = session.prompt(&format!("za is back {sent}"), 4).await;
        assert!(answer.is_whole, "{answer:?}");
        sent += 1;
    }
    let is_used = session.runs()[0] > before;
    session.line(&format!("za runs prompts again: {is_used}"));
    session.set("zones/zb", &json!({"region": "r", "state": "out"})).await;
    session.prompts("while zb is out").await;
    insta::assert_snapshot!(session.text);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn weights_are_swapped_in_the_middle_of_a_stream() {
    let mut session = Session::start(spec(1, 40_000)).await;
    let prompt: String = (0..3 * PIECE_TOKENS).map(|n| format!("word{n} ")).collect();
    let has_v2 = |session: &Session| {
        let records = session.system.engines[0].records();
        records.orders.iter().any(|o| o.is_accepted && o.order.action.version() == Some("v2"))
    };
    poll("v2 is loaded", || has_v2(&session)).await;

    let answer = session.prompt(&prompt, 4).await;
    session.line(&answer_line("first", &prompt, &answer));
    let (client, entry) = (session.system.client.clone(), session.system.entries[0].http);
    let (text, before) = (prompt.clone(), session.runs()[0]);
    let running = tokio::spawn(async move {
        client.complete(entry, "chiclayo", MODEL, &text, LONG_ANSWER_TOKENS).await
    });
    poll("the long answer has started", || {
        let runs = session.system.engines[0].records().runs;
        runs.get(before).is_some_and(|run| run.started > 0)
    })
    .await;
    session
        .set(
            "models/order-text",
            &json!({
                "kind": "engine", "versions": ["v1", "v2"], "default_version": "v2",
                "piece_tokens": PIECE_TOKENS,
            }),
        )
        .await;
    let answer = session.prompt(&prompt, 4).await;
    session.line(&answer_line("after the swap", &prompt, &answer));
    let run = session.last_run();
    session.line(&format!("  engine: {}, {} tokens from cache", run.version, run.cached_tokens));
    let answer = session.prompt(&prompt, 4).await;
    session.line(&answer_line("same prompt again", &prompt, &answer));
    let is_running =
        session.system.engines[0].records().runs[before].outcome == engine::RunOutcome::Running;
    session.line(&format!("the long answer is still in progress: {is_running}"));
    let answer = running.await.expect("the task does not panic");
    session.line(&answer_line("long answer", &prompt, &answer));
    let records = session.system.engines[0].records();
    session.line(&format!("wrong cache reads: {}", records.wrong_reads));
    insta::assert_snapshot!(session.text);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_first_session() {
    let mut session = Session::start(spec(1, 0)).await;
    session.set("workspaces/chiclayo", &json!({"weight": 2})).await;
    session.set("workspaces/chiclayo", &json!({"weight": "two"})).await;
    let prompt: String = (0..3 * PIECE_TOKENS + 4).map(|n| format!("word{n} ")).collect();
    for what in ["prompt", "same prompt again"] {
        let answer = session.prompt(&prompt, 8).await;
        session.line(&answer_line(what, &prompt, &answer));
    }
    let path = format!("/v1/services/{SERVICE}/orders");
    for (what, aprons) in [("order", 12), ("same order again", 12), ("same key, other body", 13)] {
        let (client, entry) = (&session.system.client, session.system.entries[1].http);
        let body = json!({"aprons": aprons});
        let answer = client.order(entry, "chiclayo", &path, Some("order-0417"), &body).await;
        let runs = session.system.services[0].records().executions.len();
        let line = format!("{what}: {} {}, runs: {runs}", answer.status, answer.document);
        session.line(&line);
    }
    for token in [OPERATOR_TOKEN, "team-chiclayo"] {
        let req = HttpRequest::new(Method::GET, "/v1/status");
        let entry = session.system.entries[0].http;
        let answer = session.system.client.send(entry, token, req).await;
        let status = &answer.document;
        let line = match answer.status {
            200 => format!(
                "status: revision {}, zones {}",
                status["revision"],
                status["zones"].as_array().map_or(0, Vec::len)
            ),
            _ => format!("status: {} {status}", answer.status),
        };
        session.line(&line);
    }
    insta::assert_snapshot!(session.text);
}

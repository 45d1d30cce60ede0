//! Guarantees to callers: complete responses of their own while engines are slow, drop streams or
//! lose responses, explicit errors where that fails, and no cache shared between workspaces.

mod support;

use cassiagw_standins::{
    engine::{self, RunOutcome, expected_completion},
    server::Down,
};
use futures::future::join_all;
use support::{MODEL, System, SystemSpec, poll};

/// Maximum number of tokens of each completion.
const MAX_TOKENS: u32 = 16;
/// Number of concurrent callers.
const CALLERS: usize = 96;
/// Number of tokens in one piece of the prefix cache.
const PIECE_TOKENS: usize = 10;

fn engine_config(seed: u64) -> engine::Config {
    engine::Config {
        seed,
        decode_per_token_us: 1_000 * seed,
        prefill_lanes: 4,
        piece_tokens: PIECE_TOKENS,
        ..engine::Config::default()
    }
}

fn spec(engines: usize) -> SystemSpec {
    SystemSpec {
        engines: (1..=engines as u64).map(engine_config).collect(),
        piece_tokens: PIECE_TOKENS as u32,
        ..SystemSpec::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn late_and_swapped_answers_reach_their_own_callers() {
    let system = System::start(spec(3)).await;
    for (index, engine) in system.engines.iter().enumerate() {
        engine.set_faults(|faults| {
            // The engines have different delays, so that responses arrive out of order.
            faults.answers.slow_ms = 150 * index as u64;
            faults.answers.lose_answers_permille = 100;
            faults.cut_stream_after = 1 + index as u32 * 3;
            faults.cut_streams = 30;
        });
    }
    let calls = (0..CALLERS).map(|number| {
        let (system, workspace) = (&system, ["chiclayo", "hangang"][number % 2]);
        async move {
            // Every third prompt is the same, and both workspaces send it.
            let prompt = match number % 3 {
                0 => "which sizes go to the warehouse".to_owned(),
                _ => format!("apron order of crew {number}"),
            };
            let tokens = MAX_TOKENS - number as u32 % 5;
            let entry = system.entries[number % 2].http;
            let answer = system.client.complete(entry, workspace, MODEL, &prompt, tokens).await;
            assert!(answer.is_whole, "{number}: {answer:?}");
            let expected = expected_completion(MODEL, "v1", None, &prompt, tokens as usize);
            assert_eq!(answer.tokens, expected, "{number}");
        }
    });
    join_all(calls).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_prompt_in_two_workspaces_shares_no_cache() {
    let system = System::start(spec(1)).await;
    let prompt: String = (0..5 * PIECE_TOKENS).map(|n| format!("word{n} ")).collect();
    let expected = expected_completion(MODEL, "v1", None, &prompt, MAX_TOKENS as usize);
    let mut cached = Vec::new();
    for workspace in ["chiclayo", "chiclayo", "hangang", "hangang", "chiclayo"] {
        let entry = system.entries[0].http;
        let answer = system.client.complete(entry, workspace, MODEL, &prompt, MAX_TOKENS).await;
        assert_eq!((answer.is_whole, &answer.tokens), (true, &expected), "{workspace}");
        let runs = system.engines[0].records().runs;
        cached.push(runs.last().expect("the engine ran the prompt").cached_tokens);
    }
    let whole = 5 * PIECE_TOKENS;
    assert_eq!(cached, [0, whole, 0, whole, whole]);
    let runs = system.engines[0].records().runs;
    assert_ne!(runs[0].salt, runs[2].salt);
    assert_eq!(system.engines[0].records().wrong_reads, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stream_that_fails_ends_with_an_error_event() {
    let slow = engine::Config { decode_per_token_us: 50_000, ..engine_config(1) };
    let system = System::start(SystemSpec { engines: vec![slow], ..spec(1) }).await;
    let (client, entry) = (system.client.clone(), system.entries[0].http);
    let prompt = "lost half way";
    let running =
        tokio::spawn(async move { client.complete(entry, "chiclayo", MODEL, prompt, 200).await });
    let is_running = || {
        let runs = system.engines[0].records().runs;
        runs.iter().any(|run| run.started > 0 && run.outcome == RunOutcome::Running)
    };
    poll("the engine runs the prompt", is_running).await;
    // Some but not all of the 200 tokens arrive in this time, at 50 ms per token.
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    // The engine fails permanently: its runs are lost and it refuses connections.
    system.engines[0].set_faults(|faults| {
        faults.crash = true;
        faults.answers.down = Down::Refuse;
    });
    let answer = running.await.expect("the task does not panic");
    assert_eq!((answer.status, answer.is_whole), (200, false), "{answer:?}");
    assert!(!answer.tokens.is_empty(), "{answer:?}");
    assert!(expected_completion(MODEL, "v1", None, prompt, 200).starts_with(&answer.tokens));
    assert_eq!((answer.code(), answer.not_run()), ("endpoint_failed", Some(false)), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_answer_to_a_resume_costs_no_stream() {
    let system = System::start(spec(1)).await;
    for losses in 1..4 {
        system.engines[0].set_faults(|faults| {
            faults.cut_stream_after = 3;
            faults.cut_streams = 1;
        });
        let (client, entry) = (system.client.clone(), system.entries[0].http);
        let prompt = format!("resumed after {losses}");
        let expected = expected_completion(MODEL, "v1", None, &prompt, MAX_TOKENS as usize);
        let before = system.engines[0].records().runs.len();
        let text = prompt.clone();
        let running = tokio::spawn(async move {
            client.complete(entry, "chiclayo", MODEL, &text, MAX_TOKENS).await
        });
        poll("the engine has the prompt", || system.engines[0].records().runs.len() > before).await;
        system.engines[0].set_faults(|faults| faults.answers.lose_next_answers = losses);
        let answer = running.await.expect("the task does not panic");
        system.engines[0].set_faults(|faults| faults.answers.lose_next_answers = 0);
        assert_eq!((answer.is_whole, &answer.tokens), (true, &expected), "{answer:?}");
        let runs = system.engines[0].records().runs.len() - before;
        assert_eq!(runs, 1, "{losses}: the run was started again");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_only_endpoint_is_asked_again_after_it_lost_an_answer() {
    let system = System::start(spec(1)).await;
    let prompt = "asked again";
    let expected = expected_completion(MODEL, "v1", None, prompt, MAX_TOKENS as usize);
    system.engines[0].set_faults(|faults| faults.answers.lose_next_answers = 2);
    let entry = system.entries[0].http;
    let answer = system.client.complete(entry, "chiclayo", MODEL, prompt, MAX_TOKENS).await;
    assert_eq!((answer.is_whole, &answer.tokens), (true, &expected), "{answer:?}");
}

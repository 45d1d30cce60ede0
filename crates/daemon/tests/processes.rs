//! Daemons as separate processes that are killed, suspended and restarted; results are compared
//! with what the stand-ins recorded.

mod support;

use cassiagw_core::ledger::KvRange;
use cassiagw_standins::{
    engine::{self, expected_completion},
    server::Down,
    service,
};
use cassiagw_surfaces::kv::KvClient;
use futures::future::join_all;
use std::{collections::HashSet, time::Duration};
use support::{Answer, MODEL, ProcessSystem, SystemSpec, deployment_of, poll};
use tokio::{task::JoinHandle, time::sleep};

/// Maximum number of reads of the ledger while waiting for an outcome.
const MAX_READS: usize = 600;
/// Number of tokens of a response that is in progress when a process fails.
const LONG_ANSWER_TOKENS: u32 = 80;
/// Time in which some but not all tokens of a response arrive.
const PARTIAL_ANSWER_TIME: Duration = Duration::from_millis(400);
/// Time for which a daemon is suspended, longer than its lease to send orders to the engine.
const SUSPEND_TIME: Duration = Duration::from_secs(12);

fn spec() -> SystemSpec {
    let engine = |seed| engine::Config {
        seed,
        decode_per_token_us: 40_000,
        // The engines accept stale orders, so it is up to the daemons not to send any.
        checks_fencing: false,
        ..engine::Config::default()
    };
    SystemSpec { engines: vec![engine(1), engine(2)], ..SystemSpec::default() }
}

fn expected(prompt: &str, tokens: u32) -> Vec<String> {
    expected_completion(MODEL, "v1", None, prompt, tokens as usize)
}

fn complete(fleet: &ProcessSystem, entry: usize, prompt: &str) -> JoinHandle<Answer> {
    let (client, http, prompt) =
        (fleet.system.client.clone(), fleet.http(entry), prompt.to_owned());
    tokio::spawn(async move {
        client.complete(http, "chiclayo", MODEL, &prompt, LONG_ANSWER_TOKENS).await
    })
}

/// Waits until an engine runs the only prompt sent so far and has produced some tokens.
async fn running_engine(fleet: &ProcessSystem) -> usize {
    let running = || {
        let is_running =
            |run: &engine::RunRecord| run.started > 0 && run.outcome == engine::RunOutcome::Running;
        let has_run = |e: &engine::Handle| e.records().runs.iter().any(is_running);
        fleet.system.engines.iter().position(has_run)
    };
    poll("an engine runs the prompt", || running().is_some()).await;
    let index = running().expect("poll has seen it");
    sleep(PARTIAL_ANSWER_TIME).await;
    index
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_endpoint_daemon_costs_a_stream_no_token() {
    let mut fleet = ProcessSystem::start(spec()).await;
    let answer = complete(&fleet, 0, "endpoint daemon killed");
    let index = running_engine(&fleet).await;
    fleet.endpoints[index].kill();
    let answer = answer.await.expect("the task does not panic");
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.tokens, expected("endpoint daemon killed", LONG_ANSWER_TOKENS));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_entry_never_ends_a_stream_as_if_it_were_whole() {
    let mut fleet = ProcessSystem::start(spec()).await;
    let answer = complete(&fleet, 0, "entry killed");
    running_engine(&fleet).await;
    fleet.entries[0].kill();
    let incomplete = answer.await.expect("the task does not panic");
    let whole = expected("entry killed", LONG_ANSWER_TOKENS);
    assert!(!incomplete.is_whole && whole.starts_with(&incomplete.tokens), "{incomplete:?}");
    let again = complete(&fleet, 1, "entry killed").await.expect("the task does not panic");
    assert!(again.is_whole, "{again:?}");
    assert_eq!(again.tokens, whole);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_endpoint_daemon_stopped_beyond_its_lease_does_no_harm() {
    let fleet = ProcessSystem::start(spec()).await;
    let answer = complete(&fleet, 0, "endpoint daemon suspended");
    let index = running_engine(&fleet).await;
    fleet.endpoints[index].signal("STOP");
    sleep(SUSPEND_TIME).await;
    fleet.endpoints[index].signal("CONT");
    let answer = answer.await.expect("the task does not panic");
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.tokens, expected("endpoint daemon suspended", LONG_ANSWER_TOKENS));
    fleet.wait_until_ready().await;
    let after = complete(&fleet, 1, "after the suspension").await.expect("the task does not panic");
    assert_eq!(
        (after.is_whole, after.tokens),
        (true, expected("after the suspension", LONG_ANSWER_TOKENS))
    );
    for engine in &fleet.system.engines {
        let orders = engine.records().orders;
        assert!(orders.iter().all(|order| !order.is_stale), "{orders:?}");
    }
}

/// Repeats an order through alternating entries until it is answered or reported as not run.
async fn repeat_until_known(fleet: &ProcessSystem, key: &str) -> Answer {
    let mut answer = Answer::default();
    for turn in 0..60 {
        answer = fleet.order(turn % 2, key).await;
        if answer.status == 200 || answer.not_run() == Some(true) {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    answer
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_under_kills_run_at_most_once_and_not_run_is_true() {
    let slow = service::Config {
        faults: service::Faults { latency_ms: 60, ..service::Faults::default() },
        ..service::Config::default()
    };
    let spec = SystemSpec { services: vec![slow.clone(), slow], ..spec() };
    let mut fleet = ProcessSystem::start(spec).await;
    let (entry, endpoint) = (0, fleet.endpoints.len() - 1);
    let keys: Vec<String> = (0..40).map(|number| format!("order-{number}")).collect();
    let (first, rest) = keys.split_at(20);
    let mut answers_by_key = Vec::new();
    for (round, keys) in [first, rest].into_iter().enumerate() {
        // These orders are in progress when the process is killed, which loses their answers.
        let in_progress: Vec<_> = keys
            .iter()
            .map(|key| {
                let path = format!("/v1/services/{}/orders", support::SERVICE);
                let (client, http, key) =
                    (fleet.system.client.clone(), fleet.http(entry), key.clone());
                let body = serde_json::json!({"aprons": 12});
                tokio::spawn(async move {
                    client.order(http, "chiclayo", &path, Some(&key), &body).await
                })
            })
            .collect();
        let seen = || keys.iter().any(|key| fleet.runs(key) > 0);
        poll("an order runs", seen).await;
        let process = match round {
            0 => &mut fleet.entries[entry],
            _ => &mut fleet.endpoints[endpoint],
        };
        process.kill();
        process.restart().await;
        fleet.wait_until_ready().await;
        let firsts = join_all(in_progress).await;
        for (key, first) in keys.iter().zip(firsts) {
            answers_by_key.push((key, vec![first.expect("the task does not panic")]));
        }
    }
    for (key, answers) in &mut answers_by_key {
        answers.push(repeat_until_known(&fleet, key).await);
    }
    for (key, answers) in &answers_by_key {
        let runs = fleet.runs(key);
        assert!(runs <= 1, "{key} ran {runs} times: {answers:?}");
        let last = answers.last().expect("each order has two answers");
        assert!(last.not_run() != Some(true) || runs == 0, "{key}: {last:?}");
        assert!(last.status != 200 || runs == 1, "{key}: {last:?}");
        let whole = answers.iter().filter(|answer| answer.status == 200);
        assert!(whole.clone().all(|answer| answer == last), "{key}: {answers:?}");
    }
    // A killed entry leaves no outcome unknown, so at least the 20 orders of the first round have
    // answers.
    let answered = answers_by_key.iter().filter(|(_, answers)| answers[1].status == 200).count();
    assert!(answered >= 20, "only {answered} of 40 orders were answered after the restarts");
}

/// Waits until the ledger holds two records: the claim of the only order and its outcome.
async fn wait_until_outcome_is_written(fleet: &ProcessSystem) {
    let kv = KvClient::new(fleet.system.kv.address);
    let prefix = format!("/{}/claims/", deployment_of(fleet.system.kv.address));
    for _ in 0..MAX_READS {
        let claims =
            kv.range(&KvRange::prefix(&prefix)).await.expect("the key-value service is available");
        if claims.pairs.iter().filter(|pair| pair.key.contains("/log/")).count() == 2 {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("the ledger holds no outcome");
}

/// With a shared IP address, the operating system may assign the port of a killed daemon to a daemon
/// that starts at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_other_daemon_can_take_the_ports_of_a_killed_daemon() {
    let systems = [ProcessSystem::start(spec()).await, ProcessSystem::start(spec()).await];
    let processes =
        systems.iter().flat_map(|system| system.entries.iter().chain(&system.endpoints));
    let ips: Vec<_> = processes.map(|process| process.address("admin").ip()).collect();
    let distinct: HashSet<_> = ips.iter().collect();
    assert_eq!(distinct.len(), ips.len(), "{ips:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_restart_of_everything_forgets_no_order_and_no_setting() {
    let mut fleet = ProcessSystem::start(spec()).await;
    assert_eq!(fleet.system.set_zone("zb", "out").await.status, 200);
    let first = fleet.order(0, "kept").await;
    assert_eq!((first.status, fleet.runs("kept")), (200, 1), "{first:?}");
    wait_until_outcome_is_written(&fleet).await;
    fleet.kill_all();
    fleet.restart_all().await;
    fleet.wait_until_ready().await;
    let again = repeat_until_known(&fleet, "kept").await;
    assert_eq!((again, fleet.runs("kept")), (first, 1));
    let runs = |index: usize| fleet.system.engines[index].records().runs.len();
    let before = runs(1);
    for number in 0..4 {
        let prompt = format!("after the restart {number}");
        let answer = complete(&fleet, number % 2, &prompt).await.expect("the task does not panic");
        assert_eq!((answer.is_whole, answer.tokens), (true, expected(&prompt, LONG_ANSWER_TOKENS)));
    }
    assert_eq!(runs(1), before, "the zone that is out got prompts");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_outage_with_restarts_serves_prompts_from_peers_and_runs_no_order() {
    let mut fleet = ProcessSystem::start(spec()).await;
    fleet.system.kv.set_faults(|faults| faults.answers.down = Down::Refuse);
    for index in 0..fleet.entries.len() {
        fleet.entries[index].kill();
        fleet.entries[index].restart().await;
        fleet.wait_until_ready().await;
    }
    for index in 0..fleet.endpoints.len() {
        fleet.endpoints[index].kill();
        fleet.endpoints[index].restart().await;
        fleet.wait_until_ready().await;
    }
    for entry in [0, 1] {
        let prompt = format!("in the outage {entry}");
        let answer = complete(&fleet, entry, &prompt).await.expect("the task does not panic");
        assert_eq!((answer.is_whole, answer.tokens), (true, expected(&prompt, LONG_ANSWER_TOKENS)));
        let refused = fleet.order(entry, &format!("outage-{entry}")).await;
        assert!(refused.status >= 500, "{refused:?}");
        assert_eq!(fleet.runs(&format!("outage-{entry}")), 0, "{refused:?}");
    }
    fleet.kill_all();
    fleet.restart_all().await;
    let lost =
        complete(&fleet, 0, "no daemon has settings").await.expect("the task does not panic");
    assert!(!lost.is_whole && lost.tokens.is_empty(), "{lost:?}");
    fleet.system.kv.set_faults(|faults| faults.answers.down = Down::No);
    fleet.wait_until_ready().await;
    let order = repeat_until_known(&fleet, "after the outage").await;
    assert!(order.status == 200 || order.not_run() == Some(true), "{order:?}");
    let answer = complete(&fleet, 0, "after the outage").await.expect("the task does not panic");
    assert_eq!(
        (answer.is_whole, answer.tokens),
        (true, expected("after the outage", LONG_ANSWER_TOKENS))
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn terminated_processes_end_their_streams_first() {
    let fleet = ProcessSystem::start(spec()).await;
    let prompts: Vec<String> = (0..8).map(|number| format!("terminated {number}")).collect();
    let answers: Vec<_> =
        prompts.iter().enumerate().map(|(n, text)| complete(&fleet, n % 2, text)).collect();
    let started = || {
        let runs = fleet.system.engines.iter().flat_map(|engine| engine.records().runs);
        runs.filter(|run| run.started > 0).count()
    };
    poll("every prompt runs", || started() == prompts.len()).await;
    fleet.entries[0].signal("TERM");
    fleet.endpoints[0].signal("TERM");
    for (prompt, answer) in prompts.iter().zip(join_all(answers).await) {
        let answer = answer.expect("the task does not panic");
        assert!(answer.is_whole, "{prompt}: {answer:?}");
        assert_eq!(answer.tokens, expected(prompt, LONG_ANSWER_TOKENS), "{prompt}");
    }
    assert_eq!(started(), prompts.len(), "a run was started again");
}

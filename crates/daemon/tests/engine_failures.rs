//! Failures of an engine while it runs a completion.

mod support;

use cassiagw_standins::engine::{self, RunOutcome};
use std::time::Duration;
use support::{MODEL, System, SystemSpec};
use tokio::{select, time::sleep};

/// A completion lost by an engine that accepted it must not be reported as not run, whatever the
/// engine answers after its restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn completion_lost_by_its_engine_is_never_called_not_run() {
    // At ten minutes per token, the completion cannot end before the engine crashes.
    let slow = engine::Config { decode_per_token_us: 600_000_000, ..engine::Config::default() };
    let spec = SystemSpec { engines: vec![slow], ..SystemSpec::default() };
    let system = System::start(spec).await;
    let engine = &system.engines[0];
    let crash_whenever_it_runs = async {
        loop {
            let runs = engine.records().runs;
            if runs.iter().any(|run| run.outcome == RunOutcome::Running) {
                engine.set_faults(|faults| faults.crash = true);
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    let entry = system.entries[0].http;
    let answer = select! {
        answer = system.client.complete(entry, "chiclayo", MODEL, "lost carts", 4) => answer,
        () = crash_whenever_it_runs => unreachable!("the loop does not end"),
    };
    assert!(!engine.records().runs.is_empty());
    assert!(!answer.is_whole, "{answer:?}");
    assert_ne!(answer.not_run(), Some(true), "{answer:?}");
}

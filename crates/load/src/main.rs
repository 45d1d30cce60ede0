//! `cassiagw-load`, the load and experiment tool of cassiagw.

mod arms;
mod client;
mod experiment;
mod flags;
mod fleet;
mod report;
mod scenario;
mod smoke;
mod trace;

use flags::{CassiagwLoad, CassiagwLoadCmd, Measure};
use smoke::{run_demo, start_demo};
use std::{future::pending, path::PathBuf, process::ExitCode};
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> ExitCode {
    let env = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(env).init();
    let work = run(CassiagwLoad::from_env_or_exit().subcommand);
    // A signal drops the future, which kills the child processes it started.
    let result = tokio::select! {
        result = work => result,
        signal = stop_signal() => Err(signal),
    };
    match result {
        Ok(code) => code,
        Err(message) => {
            eprintln!("cassiagw-load: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(subcommand: CassiagwLoadCmd) -> Result<ExitCode, String> {
    match subcommand {
        CassiagwLoadCmd::Demo(flags) => demo(flags.keep).await,
        CassiagwLoadCmd::Hop(_) => hop().await,
        CassiagwLoadCmd::Measure(flags) => measure(&flags).await,
    }
}

/// Waits for SIGINT or SIGTERM and returns the message to exit with.
async fn stop_signal() -> String {
    let terminate = async {
        match signal(SignalKind::terminate()) {
            Ok(mut terminate) => terminate.recv().await,
            Err(_) => pending().await,
        }
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => "interrupted".to_owned(),
        _ = terminate => "terminated".to_owned(),
    }
}

async fn demo(keep: bool) -> Result<ExitCode, String> {
    let fleet = start_demo(programs()?).await.map_err(|error| error.to_string())?;
    let summary = run_demo(&fleet).await.map_err(|error| error.to_string())?;
    if keep {
        fleet.entries.iter().for_each(|entry| println!("ENTRY={entry}"));
        println!(
            "TOKEN={} OPERATOR_TOKEN={}",
            fleet::caller_token("chiclayo"),
            fleet::OPERATOR_TOKEN
        );
        pending::<()>().await;
    }
    println!("{summary}");
    Ok(if summary.is_success() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn measure(flags: &Measure) -> Result<ExitCode, String> {
    let (name, seed) = (flags.scenario.as_str(), flags.seed);
    let scenario = scenario::find(name).ok_or_else(|| {
        format!("unknown scenario {name:?}; expected one of {}", scenario::NAMES.join(", "))
    })?;
    if flags.only_ours {
        let counts = experiment::run_cassiagw_only(&scenario, seed, programs()?).await;
        print!("{}", counts.map_err(|error| error.to_string())?);
        return Ok(ExitCode::SUCCESS);
    }
    let measured = experiment::measure(&scenario, seed, programs()?);
    let measured = measured.await.map_err(|error| error.to_string())?;
    print!("{}", measured.details());
    println!("{measured}");
    Ok(ExitCode::SUCCESS)
}

async fn hop() -> Result<ExitCode, String> {
    let measured = experiment::measure_hop(programs()?).await.map_err(|error| error.to_string())?;
    println!("{measured}");
    Ok(ExitCode::SUCCESS)
}

/// Directory of this executable, which also contains the other executables.
fn programs() -> Result<PathBuf, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    program
        .parent()
        .map(PathBuf::from)
        .ok_or_else(|| "cannot determine the directory of this executable".to_owned())
}

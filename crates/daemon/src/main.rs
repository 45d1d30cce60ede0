//! `cassiagwd`, the daemon of cassiagw.

use cassiagwd::{Daemon, config};
use std::{path::PathBuf, process::ExitCode};
use tokio::signal::unix::{SignalKind, signal};

mod flags {
    #![allow(missing_docs, clippy::unwrap_used)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Daemon of cassiagw; its role comes from its configuration file.
        cmd cassiagwd {
            /// Configuration file in YAML.
            required --config path: PathBuf
            /// Only check the configuration file, then exit.
            optional --check
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let env = env_logger::Env::default().default_filter_or("info,tarpc=warn");
    env_logger::Builder::from_env(env).init();
    let flags = flags::Cassiagwd::from_env_or_exit();
    match run(flags.config, flags.check).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("cassiagwd: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(path: PathBuf, only_check: bool) -> Result<(), String> {
    let cfg = config::load(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    if only_check {
        println!("{}: ok", path.display());
        return Ok(());
    }
    let daemon = Daemon::start(cfg).await.map_err(|error| error.to_string())?;
    println!("{}", daemon.addresses);
    let stop = stop_signal().map_err(|error| error.to_string())?;
    daemon.run(stop).await;
    Ok(())
}

fn stop_signal() -> std::io::Result<impl Future<Output = ()> + Send + 'static> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

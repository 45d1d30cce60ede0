use cassiagw_standins::{
    engine, hosts, kv,
    server::{FaultError, StandIn, spawn_with_admin},
    service, store, weights,
};
use serde_json::{Value, json};
use std::{
    fs, io,
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
};
use thiserror::Error;
use tokio::{
    net::TcpListener,
    runtime::Runtime,
    select,
    signal::unix::{SignalKind, signal},
};

/// How to run a stand-in.
pub struct Options {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Second address for administration.
    pub admin: Option<SocketAddr>,
    /// File with the settings.
    pub config: Option<PathBuf>,
}

/// Why a stand-in did not start.
#[derive(Debug, Error)]
pub enum RunError {
    /// No such kind.
    #[error("kind {0:?} is not one of kv, engine, service, store, weights, hosts")]
    Kind(String),
    /// The settings cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// File with the settings.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The settings are wrong.
    #[error("{path}: {message}")]
    Config {
        /// File with the settings.
        path: PathBuf,
        /// What is wrong.
        message: String,
    },
    /// The faults are wrong.
    #[error("{0}")]
    Faults(#[from] FaultError),
    /// An address cannot be opened.
    #[error("cannot listen: {0}")]
    Listen(#[from] io::Error),
}

/// Runs a stand-in until SIGTERM or SIGINT.
pub fn run(kind: &str, options: Options) -> Result<(), RunError> {
    let serve = match kind {
        "kv" => serve::<kv::Kv>,
        "engine" => serve::<engine::Engine>,
        "service" => serve::<service::Service>,
        "store" => serve::<store::Store>,
        "hosts" => serve::<hosts::Hosts>,
        "weights" => serve::<weights::Weights>,
        _ => return Err(RunError::Kind(kind.into())),
    };
    serve(options)
}

fn serve<S: StandIn>(options: Options) -> Result<(), RunError> {
    let settings = match &options.config {
        Some(path) => read_settings::<S>(path)?,
        None => Settings { cfg: S::Config::default(), faults: json!({}) },
    };
    Runtime::new()?.block_on(async {
        let admin = match options.admin {
            Some(address) => Some(TcpListener::bind(address).await?),
            None => None,
        };
        let admin_address = admin.as_ref().map(TcpListener::local_addr).transpose()?;
        let handle = spawn_with_admin::<S>(settings.cfg, options.listen, admin).await?;
        handle.faults().patch(&settings.faults)?;
        handle.on_faults_changed();
        print_line("listening", handle.address)?;
        admin_address.map_or(Ok(()), |address| print_line("admin", address))?;
        wait_for_signal().await?;
        Ok(())
    })
}

/// Settings with the faults apart, so that an unknown fault is refused by name.
struct Settings<S: StandIn> {
    cfg: S::Config,
    faults: Value,
}

fn read_settings<S: StandIn>(path: &Path) -> Result<Settings<S>, RunError> {
    let config_error = |message: String| RunError::Config { path: path.into(), message };
    let text =
        fs::read_to_string(path).map_err(|source| RunError::Read { path: path.into(), source })?;
    let cfg = serde_saphyr::from_str(&text).map_err(|error| config_error(error.to_string()))?;
    let mut document: Value =
        serde_saphyr::from_str(&text).map_err(|error| config_error(error.to_string()))?;
    let faults = document.as_object_mut().and_then(|members| members.remove("faults"));
    Ok(Settings { cfg, faults: faults.unwrap_or_else(|| json!({})) })
}

fn print_line(name: &str, address: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{name}={address}")?;
    out.flush()
}

async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}

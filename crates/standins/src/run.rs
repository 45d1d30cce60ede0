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

/// Command-line options of a stand-in process.
pub struct Options {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Separate address for the administration API; `None` serves it on `listen` only.
    pub admin: Option<SocketAddr>,
    /// YAML settings file; `None` uses the defaults.
    pub config: Option<PathBuf>,
}

/// Error that prevents a stand-in from starting or from waiting for signals.
#[derive(Debug, Error)]
pub enum RunError {
    /// Unknown kind of stand-in.
    #[error("kind {0:?} is not one of kv, engine, service, store, weights, hosts")]
    Kind(String),
    /// The settings file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The settings file is not valid YAML, or has an unknown field or a mistyped value.
    #[error("{path}: {message}")]
    Config {
        /// Path of the settings file.
        path: PathBuf,
        /// Message of the YAML parser.
        message: String,
    },
    /// The `faults` section names an unknown fault; a mistyped value is a [`RunError::Config`].
    #[error("{0}")]
    Faults(#[from] FaultError),
    /// An address cannot be bound, or another I/O operation of the process fails.
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
        print_address("listening", handle.address)?;
        admin_address.map_or(Ok(()), |address| print_address("admin", address))?;
        wait_for_signal().await?;
        Ok(())
    })
}

/// Parsed settings; the faults stay raw JSON so that [`RunError::Faults`] can name an unknown one.
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

fn print_address(name: &str, address: SocketAddr) -> io::Result<()> {
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

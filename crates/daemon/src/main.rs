//! `cassiagwd`, the cassiagw daemon: command line, logging and signal handling.

use cassiagw_core::forwarding::ForwardConfig;
use cassiagw_platform::{SETTINGS_PATH_VARIABLE, read_settings};
use cassiagwd::{
    Daemon, config,
    forward::{self, ForwardDaemon},
};
use std::{
    env, fs,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Command, ExitCode},
};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
};

/// Environment variable of the C library with the size from which memory is returned to the
/// operating system when it is freed.
const MMAP_THRESHOLD: &str = "MALLOC_MMAP_THRESHOLD_";
/// Its value, in bytes. Without one the size adapts to what was freed, so that each thread's heap
/// retains several of the largest bodies.
const MMAP_THRESHOLD_BYTES: usize = 128 * 1024;

mod flags {
    #![allow(missing_docs, clippy::unwrap_used)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// The cassiagw daemon; its role is set in its configuration file.
        cmd cassiagwd {
            /// Configuration file in YAML.
            optional --config path: PathBuf
            /// Run in forward mode, configured by the platform's settings file.
            optional --forward
            /// Validate the configuration file and exit.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Cassiagwd::from_env_or_exit();
    let result = match (&flags.config, flags.forward) {
        (None, true) => run_forward(flags.check),
        (Some(path), false) => run_deployment(path, flags.check),
        _ => Err("exactly one of --config and --forward is required".to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("cassiagwd: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the program anew with [`MMAP_THRESHOLD`] in its environment, unless it is set: the C library
/// reads it only at the start of a process. The process keeps its ID.
fn fix_mmap_threshold() {
    if env::var_os(MMAP_THRESHOLD).is_some() {
        return;
    }
    let Ok(program) = env::current_exe() else {
        log::warn!(event = "mmap_threshold_not_set"; "the program's path is not known");
        return;
    };
    let mut args = env::args_os();
    let name = args.next().unwrap_or_else(|| program.clone().into());
    let threshold = MMAP_THRESHOLD_BYTES.to_string();
    let error = Command::new(program).arg0(name).args(args).env(MMAP_THRESHOLD, threshold).exec();
    log::warn!(event = "mmap_threshold_not_set", error:% = error; "more memory may be retained");
}

fn run_deployment(path: &Path, only_check: bool) -> Result<(), String> {
    let env = env_logger::Env::default().default_filter_or("info,tarpc=warn");
    env_logger::Builder::from_env(env).init();
    let cfg = config::load(path).map_err(|error| format!("{}: {error}", path.display()))?;
    if only_check {
        println!("{}: ok", path.display());
        return Ok(());
    }
    fix_mmap_threshold();
    let runtime = Builder::new_multi_thread().enable_all().build();
    runtime.map_err(|error| error.to_string())?.block_on(async {
        let daemon = Daemon::start(cfg).await.map_err(|error| error.to_string())?;
        println!("{}", daemon.addresses);
        let stop = shutdown_signal().map_err(|error| error.to_string())?;
        daemon.run(stop).await;
        Ok(())
    })
}

fn run_forward(only_check: bool) -> Result<(), String> {
    let path = env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from).ok_or_else(|| {
        format!("{SETTINGS_PATH_VARIABLE} is not set; it must hold the path of the settings file")
    })?;
    let with_path = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = fs::read_to_string(&path).map_err(|error| with_path(&error))?;
    let cfg = read_forward(&text).map_err(|error| with_path(&error))?;
    if only_check {
        println!("{}: ok", path.display());
        return Ok(());
    }
    forward::init_logging().map_err(|error| error.to_string())?;
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| error.to_string())?.block_on(async {
        let stop = shutdown_signal().map_err(|error| error.to_string())?;
        let file = forward::SettingsFile::new(path, text, read_forward);
        let file = file.map_err(|error| error.to_string())?;
        let daemon = ForwardDaemon::start(cfg).await.map_err(|error| error.to_string())?;
        daemon.run(Some(file), stop).await;
        Ok(())
    })
}

fn read_forward(text: &str) -> Result<ForwardConfig, String> {
    read_settings(text).map_err(|error| error.to_string())
}

fn shutdown_signal() -> std::io::Result<impl Future<Output = ()> + Send + 'static> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

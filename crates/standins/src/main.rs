//! Runs one stand-in as a process.

mod run;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// Kind of stand-in: kv, engine, service, store, weights or hosts.
        required kind: String
        /// Address to listen on; port 0 selects a free port.
        required --listen address: SocketAddr
        /// YAML file with the stand-in's settings.
        optional --config path: PathBuf
        /// Separate administration address; it stays open while the main one refuses connections.
        optional --admin address: SocketAddr
    };
    env_logger::init();
    let options = run::Options { listen: flags.listen, admin: flags.admin, config: flags.config };
    match run::run(&flags.kind, options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cassiagw-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

//! Runs one stand-in as a process.

mod run;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// Kind of stand-in.
        required kind: String
        /// Address to listen at; port 0 takes a free one.
        required --listen address: SocketAddr
        /// YAML file with the stand-in's settings.
        optional --config path: PathBuf
        /// Second address for administration; it stays open while the first refuses connections.
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

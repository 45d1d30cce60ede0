use std::io;
use thiserror::Error;

/// Error while starting or operating a deployment.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A program could not be started.
    #[error("cannot start {program}: {source}")]
    Start {
        /// Name of the program.
        program: String,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The first output line of a program lacks the expected listen address.
    #[error("{program} did not print its listen address: first line is {line:?}")]
    NoAddress {
        /// Name of the program.
        program: String,
        /// First line of its standard output.
        line: String,
    },
    /// A configuration file could not be written, or the usage of a process could not be read.
    #[error("cannot write a configuration file or read process usage: {0}")]
    Io(io::Error),
    /// A request of the operators failed or was rejected.
    #[error("settings were not accepted: {0}")]
    Settings(String),
    /// A process did not become ready in time or did not answer an administrative request.
    #[error("deployment is not ready: {0}")]
    NotReady(String),
}

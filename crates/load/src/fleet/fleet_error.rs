use std::io;
use thiserror::Error;

/// Why a deployment could not be started.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A program could not be started.
    #[error("cannot start {program}: {source}")]
    Start {
        /// Name of the program.
        program: String,
        /// Cause.
        source: io::Error,
    },
    /// A program did not say where it listens.
    #[error("{program} did not say where it listens: {line:?}")]
    NoAddress {
        /// Name of the program.
        program: String,
        /// What it said instead.
        line: String,
    },
    /// A configuration file could not be written.
    #[error("cannot write a configuration file: {0}")]
    Write(io::Error),
    /// The settings were not accepted.
    #[error("settings were not accepted: {0}")]
    Settings(String),
    /// The daemons did not become ready.
    #[error("not ready in time: {0}")]
    NotReady(String),
}

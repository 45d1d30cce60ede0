use std::{fmt, io, path::PathBuf};
use thiserror::Error;

/// An invalid or missing setting in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Dotted path of the setting, such as `listen.http`; empty for the root.
    pub path: String,
    /// Value found, as JSON text; `None` if the setting is missing.
    pub value: Option<String>,
    /// Description of the values that the setting accepts.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{}: found {value}, expected {}", self.path, self.allowed),
            None => write!(f, "{}: missing, expected {}", self.path, self.allowed),
        }
    }
}

/// Reason why a configuration file was rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the configuration file.
        path: PathBuf,
        /// I/O error from the read.
        source: io::Error,
    },
    /// The file is not valid YAML; holds the parser's message.
    #[error("not valid YAML: {0}")]
    Syntax(String),
    /// Settings are invalid or missing; lists every one that was found.
    #[error("{} invalid settings:\n{}", .0.len(), format_faults(.0))]
    Invalid(Vec<Fault>),
}

fn format_faults(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("  {fault}")).collect::<Vec<_>>().join("\n")
}

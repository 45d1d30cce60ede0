use std::{fmt, io, path::PathBuf};
use thiserror::Error;

/// One fault in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the setting, such as `listen.http`.
    pub path: String,
    /// Value found; none if the setting is missing.
    pub value: Option<String>,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{}: found {value}, allowed is {}", self.path, self.allowed),
            None => write!(f, "{}: missing, allowed is {}", self.path, self.allowed),
        }
    }
}

/// Why a configuration file cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// File that was named.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file is not YAML.
    #[error("not valid YAML: {0}")]
    Syntax(String),
    /// Settings are wrong; all faults are listed.
    #[error("{} wrong settings:\n{}", .0.len(), list(.0))]
    Invalid(Vec<Fault>),
}

fn list(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("  {fault}")).collect::<Vec<_>>().join("\n")
}

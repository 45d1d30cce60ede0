use super::{Child, FleetError};
use serde_json::Value;
use std::{fs, path::PathBuf};
use tempfile::TempDir;

/// Program of the daemons.
const DAEMON: &str = "cassiagwd";
/// Program of the stand-ins.
const STANDIN: &str = "cassiagw-standin";
/// Loopback address with a port that the system chooses.
pub const ANY_PORT: &str = "127.0.0.1:0";

/// Folder of the programs and a folder of its own for their configuration files.
#[derive(Debug)]
pub struct Programs {
    folder: PathBuf,
    configs: TempDir,
}

impl Programs {
    /// Makes the folder for configuration files; it goes with this value.
    ///
    /// # Errors
    /// The folder cannot be made.
    pub fn new(folder: PathBuf) -> Result<Self, FleetError> {
        let configs = tempfile::tempdir().map_err(FleetError::Write)?;
        Ok(Self { folder, configs })
    }

    /// Starts a daemon with a configuration.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start_daemon(&self, name: &str, config: &Value) -> Result<Child, FleetError> {
        let path = self.write_config(name, config)?;
        Child::start(&self.folder, DAEMON, &["--config", &path.to_string_lossy()])
    }

    /// Starts a stand-in with a configuration.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start_standin(
        &self,
        kind: &str,
        name: &str,
        config: &Value,
    ) -> Result<Child, FleetError> {
        let path = self.write_config(&format!("{name}-standin"), config)?;
        let path = path.to_string_lossy();
        let args = [kind, "--listen", ANY_PORT, "--config", &path];
        Child::start(&self.folder, STANDIN, &args)
    }

    /// Writes a configuration as JSON, which is YAML too.
    fn write_config(&self, name: &str, config: &Value) -> Result<PathBuf, FleetError> {
        let path = self.configs.path().join(format!("{name}.yaml"));
        fs::write(&path, config.to_string()).map_err(FleetError::Write)?;
        Ok(path)
    }
}

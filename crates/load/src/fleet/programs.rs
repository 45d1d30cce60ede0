use super::{ChildProcess, FleetError};
use serde_json::Value;
use std::{fs, path::PathBuf};
use tempfile::TempDir;

/// Executable name of the daemons.
const DAEMON: &str = "cassiagwd";
/// Executable name of the stand-ins.
const STANDIN: &str = "cassiagw-standin";
/// Loopback address with port 0, for which the operating system chooses a free port.
pub const ANY_PORT: &str = "127.0.0.1:0";

/// Starts the executables of a directory, with configuration files in a temporary directory.
#[derive(Debug)]
pub struct Programs {
    folder: PathBuf,
    configs: TempDir,
}

impl Programs {
    /// Creates the temporary directory for configuration files; dropping this value removes it.
    ///
    /// # Errors
    /// The temporary directory cannot be created.
    pub fn new(folder: PathBuf) -> Result<Self, FleetError> {
        let configs = tempfile::tempdir().map_err(FleetError::Io)?;
        Ok(Self { folder, configs })
    }

    /// Writes the configuration to a file and starts a daemon with it.
    ///
    /// # Errors
    /// The configuration cannot be written or the program cannot be started.
    pub fn start_daemon(&self, name: &str, config: &Value) -> Result<ChildProcess, FleetError> {
        let path = self.write_config(name, config)?;
        ChildProcess::start(&self.folder, DAEMON, &["--config", &path.to_string_lossy()])
    }

    /// Writes the configuration to a file and starts a stand-in of this kind with it.
    ///
    /// # Errors
    /// The configuration cannot be written or the program cannot be started.
    pub fn start_standin(
        &self,
        kind: &str,
        name: &str,
        config: &Value,
    ) -> Result<ChildProcess, FleetError> {
        let path = self.write_config(&format!("{name}-standin"), config)?;
        let path = path.to_string_lossy();
        let args = [kind, "--listen", ANY_PORT, "--config", &path];
        ChildProcess::start(&self.folder, STANDIN, &args)
    }

    /// Writes a configuration as JSON, which is also valid YAML.
    fn write_config(&self, name: &str, config: &Value) -> Result<PathBuf, FleetError> {
        let path = self.configs.path().join(format!("{name}.yaml"));
        fs::write(&path, config.to_string()).map_err(FleetError::Io)?;
        Ok(path)
    }
}

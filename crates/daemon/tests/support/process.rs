use serde_json::Value;
use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};
use tokio::time::sleep;

/// Maximum number of starts while the predecessor's port is still in use.
const MAX_STARTS: usize = 500;
/// Delay between two starts.
const START_DELAY: Duration = Duration::from_millis(10);

/// A daemon in a separate process; killed on drop.
pub struct Process {
    /// Configuration of the daemon, kept for a restart.
    pub config: Value,
    child: Child,
    addresses: String,
    /// Configuration file of the process; deleted on drop.
    _file: tempfile::NamedTempFile,
    /// Captured standard error.
    log: tempfile::NamedTempFile,
}

impl Process {
    /// Starts a daemon and waits until it prints its listen addresses.
    pub async fn start(config: &Value) -> Self {
        let mut error = String::new();
        for _ in 0..MAX_STARTS {
            let mut process = Self::spawn(config);
            let stdout = process.child.stdout.take().expect("stdout is piped");
            let read = BufReader::new(stdout).read_line(&mut process.addresses);
            if read.expect("stdout is readable") > 0 {
                return process;
            }
            error = fs::read_to_string(process.log.path()).expect("the log file is readable");
            sleep(START_DELAY).await;
        }
        panic!("daemon failed to start: {error}: {config}");
    }

    /// Restarts the killed daemon at the same addresses.
    pub async fn restart(&mut self) {
        for name in ["http", "peer", "admin", "rpc"] {
            if self.config["listen"][name].is_string() {
                self.config["listen"][name] = Value::String(self.address(name).to_string());
            }
        }
        *self = Self::start(&self.config).await;
    }

    /// Returns the daemon's listen address of the given name.
    pub fn address(&self, name: &str) -> SocketAddr {
        let field = format!("{name}=");
        let found = self.addresses.split_whitespace().find_map(|word| word.strip_prefix(&field));
        found.expect("the daemon prints this address").parse().expect("an address")
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, given by name, to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status().expect("kill runs");
        assert!(status.success(), "{name} to {pid}");
    }

    fn spawn(config: &Value) -> Self {
        let file = tempfile::NamedTempFile::new().expect("a temporary file");
        fs::write(file.path(), config.to_string()).expect("the configuration file is writable");
        let log = tempfile::NamedTempFile::new().expect("a temporary file");
        let child = Command::new(env!("CARGO_BIN_EXE_cassiagwd"))
            .arg("--config")
            .arg(file.path())
            .stdout(Stdio::piped())
            .stderr(log.reopen().expect("the log file can be reopened"))
            .spawn()
            .expect("the daemon starts");
        Self { config: config.clone(), child, addresses: String::new(), _file: file, log }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

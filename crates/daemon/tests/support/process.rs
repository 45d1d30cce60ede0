use serde_json::Value;
use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};
use tokio::time::sleep;

/// Times that a process is started while its port is still in use by its predecessor.
const MAX_STARTS: usize = 500;
/// Time between two starts.
const START_DELAY: Duration = Duration::from_millis(10);

/// A daemon as a process of its own; it is killed when dropped.
pub struct Process {
    /// Its settings, to start it again.
    pub config: Value,
    child: Child,
    addresses: String,
    _file: tempfile::NamedTempFile,
    /// What it writes to standard error.
    log: tempfile::NamedTempFile,
}

impl Process {
    /// Starts a daemon and waits until it has its addresses.
    pub async fn start(config: &Value) -> Self {
        let mut error = String::new();
        for _ in 0..MAX_STARTS {
            let mut process = Self::spawn(config);
            let stdout = process.child.stdout.take().expect("it is piped");
            let read = BufReader::new(stdout).read_line(&mut process.addresses);
            if read.expect("its output is readable") > 0 {
                return process;
            }
            error = fs::read_to_string(process.log.path()).expect("it is readable");
            sleep(START_DELAY).await;
        }
        panic!("the daemon does not start: {error}: {config}");
    }

    /// Starts the daemon again at the addresses that it had, after it was killed.
    pub async fn restart(&mut self) {
        for name in ["http", "peer", "admin", "rpc"] {
            if self.config["listen"][name].is_string() {
                self.config["listen"][name] = Value::String(self.address(name).to_string());
            }
        }
        *self = Self::start(&self.config).await;
    }

    /// One of its addresses.
    pub fn address(&self, name: &str) -> SocketAddr {
        let field = format!("{name}=");
        let found = self.addresses.split_whitespace().find_map(|word| word.strip_prefix(&field));
        found.expect("it listens there").parse().expect("an address")
    }

    /// Ends it at once and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends it a signal by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status().expect("kill runs");
        assert!(status.success(), "{name} to {pid}");
    }

    fn spawn(config: &Value) -> Self {
        let file = tempfile::NamedTempFile::new().expect("a temporary file");
        fs::write(file.path(), config.to_string()).expect("it is writable");
        let log = tempfile::NamedTempFile::new().expect("a temporary file");
        let child = Command::new(env!("CARGO_BIN_EXE_cassiagwd"))
            .arg("--config")
            .arg(file.path())
            .stdout(Stdio::piped())
            .stderr(log.reopen().expect("it is there"))
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

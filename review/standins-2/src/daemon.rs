//! A daemon as the platform starts it.

use crate::http::exchange;
use std::{
    env,
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

/// Memory of a daemon's machine in the settings, in units of "MB".
pub const MEMORY_MB: u64 = 110;
/// Descriptors of a daemon's machine in the settings.
pub const MAX_FDS: u64 = 4_100;

/// A daemon; its process ends when this is dropped.
pub struct Daemon {
    /// Name in the settings.
    pub name: String,
    /// Address for callers.
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("the listener is bound")
}

impl Daemon {
    /// Writes the settings file of an `edge` machine and starts the process.
    pub fn start_new(name: &str, zone: &str, store: SocketAddr, dir: &Path) -> Self {
        let (front, ready, control) = (free_address(), free_address(), free_address());
        let internal = free_address().port();
        let settings = dir.join(format!("{name}.toml"));
        let text = format!(
            r#"
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control"]
ip = "127.0.0.1"
zone = "{zone}"
region = "yeongnam"
internal_port_range = [{internal}, {internal}]
seeds = ["{control}"]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","places","platform"]
[zones]
andong = "yeongnam"
gumi = "yeongnam"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = {MEMORY_MB}
max_fds = {MAX_FDS}
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[contract_params]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catchup_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_skew_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 56
cold_over = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
transit_ms = 120
reuse_window_s = 20
require_fence = true
lease_ms = 3000
thaw_ms = 300
version_ms = 6000
version_all_ms = 8400
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        );
        fs::write(&settings, text).expect("the settings file can be written");
        let name = name.to_owned();
        let mut daemon = Self { name, front, ready, settings, child: None };
        daemon.start();
        daemon
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let program = env::var("CASSIAGWD").unwrap_or_else(|_| "target/release/cassiagwd".into());
        let log = self.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let child = Command::new(program)
            .arg("--forward")
            .env("CASSIAGW_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the daemon starts"));
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn process_file(&self, name: &str) -> String {
        let id = self.child.as_ref().map_or(0, Child::id);
        fs::read_to_string(format!("/proc/{id}/{name}")).unwrap_or_default()
    }

    /// Resident memory, in bytes.
    pub fn memory(&self) -> u64 {
        let status = self.process_file("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }

    /// Whether the process may open as many files as its settings say.
    pub fn has_descriptors(&self) -> bool {
        let limits = self.process_file("limits");
        let line = limits.lines().find(|line| line.starts_with("Max open files"));
        let soft = line.and_then(|line| line.split_whitespace().nth(3)?.parse().ok());
        soft.is_some_and(|soft: u64| soft >= MAX_FDS)
    }

    /// Status of the readiness check; 0 without an answer within a second.
    pub fn readiness(&self) -> u16 {
        let req = b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.ready, req, Duration::from_secs(1)).unwrap_or(0)
    }

    /// Waits until the daemon says that it is ready; false after 20 s.
    pub fn wait_ready(&self) -> bool {
        (0..200).any(|_| {
            let is_ready = self.readiness() == 200;
            if !is_ready {
                thread::sleep(Duration::from_millis(100));
            }
            is_ready
        })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

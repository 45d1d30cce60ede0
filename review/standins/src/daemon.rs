//! A daemon, started as a process of its own with the command of the deploy file.

use crate::{http, record::Record, store::Store};
use std::{
    env, fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

/// Program of the deploy file, from the repository's root.
const PROGRAM: &str = "target/release/cassiagwd";

pub struct Daemon {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Daemon {
    /// Starts a daemon with settings like those of a small deployment. Like each machine, it has an
    /// address of its own, so that nobody else takes its ports.
    pub fn start(number: u8, store: &Store, dir: &Path) -> Self {
        let name = format!("edge-{number}");
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 + number, high, low);
        // All are held until each has its own port.
        let held: Vec<TcpListener> =
            (0..4).map(|_| TcpListener::bind((ip, 0)).expect("a free port")).collect();
        let addresses: Vec<SocketAddr> =
            held.iter().map(|l| l.local_addr().expect("a bound listener")).collect();
        let [front, ready, control, internal] = addresses[..] else { unreachable!() };
        drop(held);
        let path: PathBuf = dir.join(format!("{name}.toml"));
        let text = settings(&name, [front, ready, control], internal.port(), store.address);
        fs::write(&path, text).expect("a settings file");
        Self { front, ready, child: spawn(&path), settings: path }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts a process with the same settings, after the last one was killed.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.settings);
    }

    /// Waits until the daemon says that it is ready; false if it does not in time.
    pub fn wait_until_ready(&self, record: &Record, until: Duration) -> bool {
        while record.now() < until {
            let line = "GET /api/ready HTTP/1.1";
            let fields = [("Host", "ready".to_owned())];
            let answer = http::call(self.ready, line, &fields, b"", Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

fn spawn(settings: &Path) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(settings.with_extension("log"));
    let mut command = Command::new(PROGRAM);
    command.arg("--forward").env_clear().env("CASSIAGW_NODE_FILE", settings);
    for name in ["PATH", "HOME", "LANG"] {
        env::var_os(name).map(|value| command.env(name, value));
    }
    let child = command.stdin(Stdio::null()).stdout(log.expect("a log file")).spawn();
    child.expect("the daemon's program starts")
}

fn settings(name: &str, listen: [SocketAddr; 3], internal: u16, store: SocketAddr) -> String {
    let [front, ready, control] = listen;
    let ip = front.ip();
    format!(
        r#"node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = "{ip}"
zone = "z1"
region = "g1"
internal_port_range = [{internal},{internal}]
seeds = ["{control}"]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","places","platform"]
[zones]
z1 = "g1"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = 260
max_fds = 4100
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
retry_budget_slack = 54
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
    )
}

//! Memory and descriptors of a daemon's process while callers misbehave: they read long answers
//! slowly, or stop just before the end of large bodies. One such test runs at a time.

mod support;

use cassiagw_platform_standins::{
    Behaviour, CallerFields, Replica, SettingsDocument, StandInStore, settings_file,
};
use futures::future::join_all;
use serde_json::json;
use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};
use support::{ProcessSystem, SystemSpec, caller_token};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::Mutex,
    time::{sleep, timeout},
};

/// Memory of the host in the settings of each daemon, in units of 1,000,000 bytes; also the bound of
/// the process's peak.
const MEMORY_MB: u64 = 110;
/// Descriptors in the settings of the forwarding daemon, and bound of those that are open.
const MAX_FDS: usize = 1_200;
/// Maximum size of a body in the settings.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// Bytes that are missing at the end of a body.
const MISSING: usize = 10;
/// Size of an answer that is read slowly.
const LONG_ANSWER: usize = 6_000_000;
/// Size of a body that the entry's service sends back.
const ECHOED_BODY: usize = 4_000_000;
/// Callers of each set that send bodies, and of the one that reads slowly.
const SENDERS: usize = 40;
const SLOW_READERS: usize = 36;
/// Time after which a caller that cannot write or read any more does nothing but stay connected.
const CALLER_PATIENCE: Duration = Duration::from_secs(8);
/// Time for which the callers stay after the last has sent all it can.
const STAY: Duration = Duration::from_secs(1);
/// Times that an ordinary request is sent until it is answered.
const MAX_TRIES: usize = 600;

/// Held by the running test.
static ALONE: Mutex<()> = Mutex::const_new(());

/// What the callers do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crowd {
    /// They request long answers one after another and do not read them.
    SlowReaders,
    /// They announce large bodies and send them whole or piece by piece, up to the last bytes.
    LargeBodies,
    /// They send bodies in large or very small chunks without the last bytes.
    ChunkedBodies,
    /// All of these, half as many of each.
    Mixed,
}

/// The process under test and how its callers write requests.
struct Target {
    id: u32,
    callers: SocketAddr,
    /// Head of a request without its framing fields. `has_key` tells whether it has a valid key.
    head: fn(has_key: bool) -> String,
    /// Body of a request whose answer is long.
    long_request: Vec<u8>,
    has_descriptor_limit: bool,
}

impl Target {
    fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id)).expect("a process");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        let kib = peak.trim().trim_end_matches(" kB").parse::<u64>().expect("a number");
        kib * 1_024
    }

    fn open_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.id)).expect("a process").count()
    }

    async fn connect(&self) -> Option<TcpStream> {
        let socket = TcpSocket::new_v4().expect("a socket");
        // What the operating system holds does not count.
        socket.set_recv_buffer_size(4_096).expect("a buffer size");
        socket.connect(self.callers).await.ok()
    }

    fn framed(&self, has_key: bool, framing: &str) -> Vec<u8> {
        format!("{}{framing}\r\n\r\n", (self.head)(has_key)).into_bytes()
    }

    /// Requests a long answer and reads its first bytes.
    async fn read_slowly(&self) -> Option<TcpStream> {
        let mut stream = self.connect().await?;
        let framing = format!("Content-Length: {}", self.long_request.len());
        let req = [self.framed(true, &framing), self.long_request.clone()].concat();
        send(&mut stream, &req).await;
        let mut first = [0; 12];
        // A refused or closed connection is allowed.
        let _ = timeout(CALLER_PATIENCE, stream.read_exact(&mut first)).await;
        Some(stream)
    }

    async fn send_large(&self, number: usize) -> Option<TcpStream> {
        let mut stream = self.connect().await?;
        send(
            &mut stream,
            &self.framed(!number.is_multiple_of(3), &format!("Content-Length: {MAX_BODY}")),
        )
        .await;
        let body = vec![b'x'; MAX_BODY - MISSING];
        let piece_bytes = if number % 4 < 2 { body.len() } else { 16 * 1024 };
        for piece in body.chunks(piece_bytes) {
            if !send(&mut stream, piece).await {
                break;
            }
        }
        Some(stream)
    }

    async fn send_chunked(&self, number: usize) -> Option<TcpStream> {
        let mut stream = self.connect().await?;
        send(&mut stream, &self.framed(!number.is_multiple_of(4), "Transfer-Encoding: chunked"))
            .await;
        let chunk_bytes = if number.is_multiple_of(2) { 64 * 1024 } else { 64 };
        let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
        let per_write = 64 * 1024 / chunk_bytes;
        let chunks = chunk.repeat(per_write).into_bytes();
        for _ in 0..(MAX_BODY - MISSING) / (chunk_bytes * per_write) {
            if !send(&mut stream, &chunks).await {
                break;
            }
        }
        Some(stream)
    }

    /// Lets the callers of a set do their part; returns their connections.
    async fn misbehave(&self, crowd: Crowd) -> Vec<Option<TcpStream>> {
        let divisor = if crowd == Crowd::Mixed { 2 } else { 1 };
        let has = |part| crowd == part || crowd == Crowd::Mixed;
        let count = |part, callers: usize| if has(part) { callers / divisor } else { 0 };
        let readers = async {
            let mut streams = Vec::new();
            for _ in 0..count(Crowd::SlowReaders, SLOW_READERS) {
                streams.push(self.read_slowly().await);
            }
            streams
        };
        let large = (0..count(Crowd::LargeBodies, SENDERS)).map(|number| self.send_large(number));
        let chunked =
            (0..count(Crowd::ChunkedBodies, SENDERS)).map(|number| self.send_chunked(number));
        let (readers, large, chunked) = tokio::join!(readers, join_all(large), join_all(chunked));
        readers.into_iter().chain(large).chain(chunked).collect()
    }

    /// Sends a small request with a valid key and returns the status of its answer, 0 without one.
    async fn request(&self, body: &[u8]) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.callers).await else { return 0 };
        let head =
            self.framed(true, &format!("Content-Length: {}\r\nConnection: close", body.len()));
        send(&mut stream, &[head, body.to_vec()].concat()).await;
        let mut answer = Vec::new();
        // Without an answer there is no status.
        let _ = timeout(CALLER_PATIENCE, stream.read_to_end(&mut answer)).await;
        let text = String::from_utf8_lossy(&answer);
        text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    async fn wait_until_served(&self, body: &[u8]) {
        for _ in 0..MAX_TRIES {
            if self.request(body).await == 200 {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("no ordinary request is answered");
    }

    async fn check(&self, name: &str, crowd: Crowd) {
        let connections = self.misbehave(crowd).await;
        sleep(STAY).await;
        let descriptors = self.open_descriptors();
        self.wait_until_served(b"{}").await;
        let peak = self.peak_memory();
        println!("{name} {crowd:?}: peak {} KB, {descriptors} descriptors", peak / 1_000);
        assert!(peak < MEMORY_MB * 1_000_000, "{name} {crowd:?}: {peak} bytes");
        assert!(!self.has_descriptor_limit || descriptors < MAX_FDS, "{descriptors} descriptors");
        drop(connections);
    }
}

/// Writes bytes unless the connection fails or takes none any more.
async fn send(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    timeout(CALLER_PATIENCE, stream.write_all(bytes)).await.is_ok_and(|sent| sent.is_ok())
}

struct ForwardProcess {
    child: Child,
    _dir: TempDir,
    _store: StandInStore,
    desk: Replica,
}

impl Drop for ForwardProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn forward_head(has_key: bool) -> String {
    let key = if has_key { "key-1" } else { "key-unknown" };
    let id = format!("{:016x}", rand::random::<u64>());
    let fields = CallerFields { id: &id, key, time_ms: 15_000, kind: "unsafe" }.fields();
    let fields = fields.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    format!("POST /unsafe/thing HTTP/1.1\r\n{}", fields.collect::<String>())
}

async fn start_forward() -> (ForwardProcess, Target) {
    let store = StandInStore::start().await;
    let settings = SettingsDocument::new(1).with_timeout_ms(15_000).with_max_body_bytes(MAX_BODY);
    store.put_settings(&settings);
    let desk = Replica::start("d0").await;
    store.list_replica(&desk, "desk", "ready");
    let dir = TempDir::new().expect("a directory for settings");
    let path = dir.path().join("node.toml");
    fs::write(&path, settings_file("daemon-0", store.address)).expect("the file can be written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_cassiagwd"))
        .arg("--forward")
        .env("CASSIAGW_NODE_FILE", &path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon's program starts");
    let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
    let callers = loop {
        let line = lines.next().expect("the daemon starts").expect("output is text");
        let address = line.split(' ').find_map(|field| field.strip_prefix("callers="));
        if let Some(address) = address.filter(|_| line.contains("event=started")) {
            break address.parse().expect("an address");
        }
    };
    thread::spawn(move || lines.for_each(drop));
    let target = Target {
        id: child.id(),
        callers,
        head: forward_head,
        long_request: Vec::new(),
        has_descriptor_limit: true,
    };
    let process = ForwardProcess { child, _dir: dir, _store: store, desk };
    target.wait_until_served(b"{}").await;
    (process, target)
}

async fn check_forward(crowd: Crowd) {
    let _alone = ALONE.lock().await;
    let (process, target) = start_forward().await;
    let long = match crowd {
        Crowd::SlowReaders => SLOW_READERS,
        Crowd::Mixed => SLOW_READERS / 2,
        _ => 0,
    };
    process.desk.plan(&vec![Behaviour::Long(LONG_ANSWER); long]);
    target.check("forward", crowd).await;
}

fn entry_head(has_key: bool) -> String {
    let token = if has_key { caller_token("chiclayo") } else { "unknown".to_owned() };
    format!(
        "POST /v1/services/{}/orders HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {token}\r\n",
        support::SERVICE
    )
}

async fn start_entry() -> (ProcessSystem, Target) {
    let entry_limits = json!({ "memory": format!("{MEMORY_MB}MB"), "max_body": "4MiB" });
    let spec =
        SystemSpec { entries: 1, engines: Vec::new(), entry_limits, ..SystemSpec::default() };
    let system = ProcessSystem::start(spec).await;
    let target = Target {
        id: system.entries[0].id(),
        callers: system.http(0),
        head: entry_head,
        long_request: vec![b'x'; ECHOED_BODY],
        has_descriptor_limit: false,
    };
    target.wait_until_served(b"{}").await;
    (system, target)
}

async fn check_entry(crowd: Crowd) {
    let _alone = ALONE.lock().await;
    let (_system, target) = start_entry().await;
    target.check("entry", crowd).await;
}

/// Guards against a daemon that keeps complete answers of callers that do not read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_readers_fit_the_memory_of_a_forwarding_daemon() {
    check_forward(Crowd::SlowReaders).await;
}

/// Guards against a daemon that keeps all of each body that it is sent, also without a valid key.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_bodies_fit_the_memory_of_a_forwarding_daemon() {
    check_forward(Crowd::LargeBodies).await;
}

/// Guards against the same for bodies without a length.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn chunked_bodies_fit_the_memory_of_a_forwarding_daemon() {
    check_forward(Crowd::ChunkedBodies).await;
}

/// Guards against limits that each hold alone but not together.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn mixed_misbehaviour_fits_the_memory_of_a_forwarding_daemon() {
    check_forward(Crowd::Mixed).await;
}

/// Guards against limits that refuse a legal request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_forwarding_daemon_serves_a_single_largest_body() {
    let _alone = ALONE.lock().await;
    let (_process, target) = start_forward().await;
    assert_eq!(target.request(&vec![b'x'; MAX_BODY]).await, 200);
}

/// The same as on the forwarding path, in the product's own protocol.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_readers_fit_the_memory_of_an_entry() {
    check_entry(Crowd::SlowReaders).await;
}

/// The same as on the forwarding path, in the product's own protocol.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_bodies_fit_the_memory_of_an_entry() {
    check_entry(Crowd::LargeBodies).await;
}

/// The same as on the forwarding path, in the product's own protocol.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn chunked_bodies_fit_the_memory_of_an_entry() {
    check_entry(Crowd::ChunkedBodies).await;
}

/// The same as on the forwarding path, in the product's own protocol.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn mixed_misbehaviour_fits_the_memory_of_an_entry() {
    check_entry(Crowd::Mixed).await;
}

/// The same as on the forwarding path, in the product's own protocol.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_serves_a_single_largest_body() {
    let _alone = ALONE.lock().await;
    let (_system, target) = start_entry().await;
    assert_eq!(target.request(&vec![b'x'; MAX_BODY]).await, 200);
}

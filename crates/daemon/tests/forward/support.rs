//! A test deployment of daemons, a store and replicas, and the requests of callers.

use bytes::Bytes;
use cassiagw_core::forwarding::{ForwardConfig, ForwardParams, StoreConfig};
use cassiagw_platform_standins::{
    AnswerFraming, BreakPoint, BrokenAnswer, CallerFields, ConnectionEnd, Replica,
    SettingsDocument, StandInStore,
};
use cassiagw_surfaces::http::{HttpClient, HttpError, HttpRequest, HttpResponse};
use cassiagwd::forward::ForwardDaemon;
use hyper::{Method, header::HeaderName};
use serde_json::Value;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    thread,
    time::Duration,
};
use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
    task::{JoinHandle, spawn_blocking},
    time::{Instant, sleep},
};

/// Timeout for conditions that must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A running daemon. Dropping it aborts its task without a graceful stop.
pub struct Daemon {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    /// Ends a daemon with a runtime of its own at once, with all its connections.
    kill: Option<oneshot::Sender<()>>,
    pub task: JoinHandle<()>,
    /// Runtime of the daemon's own; `None` if it runs in that of the test.
    runtime: Option<Handle>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Daemon {
    /// Starts a graceful stop, as SIGTERM does.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Ends a daemon with a runtime of its own, as SIGKILL does, and waits until it has ended.
    pub async fn kill(mut self) {
        let kill = self.kill.take().expect("the daemon has a runtime of its own");
        // Fails if the daemon has ended by itself.
        let _ = kill.send(());
        (&mut self.task).await.expect("the daemon ends");
    }

    /// Blocks the only thread of a daemon with a runtime of its own, as a host that is not scheduled
    /// does.
    pub fn freeze(&self, duration: Duration) {
        let runtime = self.runtime.as_ref().expect("the daemon has a runtime of its own");
        runtime.spawn(async move { thread::sleep(duration) });
    }
}

pub struct Cluster {
    pub store: StandInStore,
    /// Replicas `m0`, `m1`, ... of the service `models`, whose requests carry prompts.
    pub models: Vec<Replica>,
    /// Replicas `d0`, `d1`, ... of the service `desk`, for requests without prompts.
    pub desks: Vec<Replica>,
    pub daemons: Vec<Daemon>,
    pub client: HttpClient,
    /// Parameters of daemons that are started from now on.
    pub params: ForwardParams,
    /// Address at which daemons that are started from now on find the store.
    pub store_address: SocketAddr,
    /// Name of the daemons that are started from now on; by number if it is `None`.
    pub name: Option<&'static str>,
    /// Address for connections from other daemons of those that are started from now on; chosen by
    /// the system if it is `None`.
    pub peer_address: Option<SocketAddr>,
    next_id: u32,
}

impl Cluster {
    /// Starts a store, replicas and one daemon that is ready.
    pub async fn start(models: usize, desks: usize) -> Self {
        let mut cluster = Self::start_without_daemons(models, desks).await;
        cluster.add_daemon(&[]).await;
        cluster
    }

    /// Starts a store, replicas and one daemon with these parameters.
    pub async fn start_with(models: usize, desks: usize, params: ForwardParams) -> Self {
        let mut cluster = Self::start_without_daemons(models, desks).await;
        cluster.params = ForwardParams { grace: cluster.params.grace, ..params };
        cluster.add_daemon(&[]).await;
        cluster
    }

    /// Starts a store and replicas.
    pub async fn start_without_daemons(models: usize, desks: usize) -> Self {
        let store = StandInStore::start().await;
        store.put_settings(&SettingsDocument::new(1));
        let cluster = Self {
            store_address: store.address,
            store,
            models: replicas("m", models).await,
            desks: replicas("d", desks).await,
            daemons: Vec::new(),
            client: HttpClient::default(),
            params: ForwardParams { grace: Duration::from_secs(8), ..ForwardParams::default() },
            name: None,
            peer_address: None,
            next_id: 0,
        };
        cluster.list("ready");
        cluster
    }

    /// Writes the store entries of all replicas.
    pub fn list(&self, state: &str) {
        let entries = self.models.iter().map(|replica| ("models", replica));
        for (service, replica) in entries.chain(self.desks.iter().map(|desk| ("desk", desk))) {
            self.store.list_replica(replica, service, state);
        }
    }

    /// Starts a daemon and waits until it is ready.
    pub async fn add_daemon(&mut self, seeds: &[SocketAddr]) {
        let number = self.daemons.len();
        let daemon = ForwardDaemon::start(self.config(number, seeds)).await;
        let daemon = daemon.expect("the daemon binds to loopback ports");
        let cfg = daemon.cfg();
        let (stop, stopped) = oneshot::channel();
        let stopped = async {
            // Fails when the test ends and drops the sender.
            let _ = stopped.await;
        };
        self.daemons.push(Daemon {
            callers: cfg.callers,
            ready: cfg.ready,
            admin: cfg.admin,
            peer: cfg.peer,
            stop: Some(stop),
            kill: None,
            task: tokio::spawn(daemon.run(None, stopped)),
            runtime: None,
        });
        self.wait_until("a daemon is ready", async |cluster| cluster.is_ready(number).await).await;
    }

    /// Starts a daemon in a runtime of its own, like the program's, and waits until it is ready. The
    /// runtime ends with the daemon: what has not been written to a connection by then is lost.
    pub async fn add_daemon_with_runtime(&mut self, seeds: &[SocketAddr]) {
        let number = self.daemons.len();
        let cfg = self.config(number, seeds);
        let (stop, stopped) = oneshot::channel();
        let (kill, killed) = oneshot::channel();
        let (started, is_started) = oneshot::channel();
        let task = spawn_blocking(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime");
            runtime.block_on(async {
                let daemon = ForwardDaemon::start(cfg).await;
                let daemon = daemon.expect("the daemon binds to loopback ports");
                let own = (daemon.cfg(), Handle::current());
                // Both fail only when the test ends.
                let _ = started.send(own);
                let stopped = async {
                    let _ = stopped.await;
                };
                tokio::select! {
                    () = daemon.run(None, stopped) => {}
                    // An error means that the test has dropped the daemon.
                    _ = killed => {}
                }
            });
        });
        let (cfg, runtime) = is_started.await.expect("the daemon starts");
        self.daemons.push(Daemon {
            callers: cfg.callers,
            ready: cfg.ready,
            admin: cfg.admin,
            peer: cfg.peer,
            stop: Some(stop),
            kill: Some(kill),
            task,
            runtime: Some(runtime),
        });
        self.wait_until("a daemon is ready", async |cluster| cluster.is_ready(number).await).await;
    }

    /// Settings of a daemon, with ports chosen by the system.
    fn config(&self, number: usize, seeds: &[SocketAddr]) -> ForwardConfig {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        ForwardConfig {
            name: self.name.map_or_else(|| format!("daemon-{number}").into(), Into::into),
            zone: "z0".into(),
            callers: any,
            ready: any,
            peer: self.peer_address.unwrap_or(any),
            admin: any,
            seeds: seeds.to_vec(),
            store: StoreConfig {
                address: self.store_address,
                min_lease: Duration::from_millis(200),
            },
            max_connections: 1_000,
            max_buffered_answer_bytes: 8 * 1024 * 1024,
            max_held_bytes: 16 * 1024 * 1024,
            params: self.params.clone(),
        }
    }

    pub async fn is_ready(&self, daemon: usize) -> bool {
        let req = HttpRequest::new(Method::GET, "/api/ready");
        let answer = self.client.call(self.daemons[daemon].ready, req).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// A daemon's state dump.
    pub async fn dump(&self, daemon: usize) -> Value {
        let req = HttpRequest::new(Method::GET, "/dump");
        let answer = self.client.call(self.daemons[daemon].admin, req).await.expect("a dump");
        answer.json().expect("the dump is JSON")
    }

    /// An endpoint in a daemon's state dump; null if the daemon does not know it.
    pub async fn endpoint(&self, daemon: usize, id: &str) -> Value {
        let dump = self.dump(daemon).await;
        let endpoints = dump["endpoints"].as_array().cloned().unwrap_or_default();
        endpoints.into_iter().find(|endpoint| endpoint["id"] == id).unwrap_or_default()
    }

    /// Polls until a condition holds. Panics with `what` on a timeout.
    pub async fn wait_until(&self, what: &str, holds: impl AsyncFn(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if holds(self).await {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("timed out waiting until {what}");
    }

    /// Creates a request with a new ID for a kind of route.
    pub fn request(&mut self, kind: &str) -> HttpRequest {
        self.next_id += 1;
        let method = if kind == "safe" { Method::GET } else { Method::POST };
        let mut req = HttpRequest::new(method, format!("/{kind}/thing?q=1"))
            .with_body(Bytes::from(vec![b'x'; 300]));
        let id = format!("r{}", self.next_id);
        let fields = CallerFields { id: &id, key: "key-1", time_ms: 6_000, kind };
        for (name, value) in fields.fields() {
            let value = value.try_into().expect("a field value");
            req = req.with_header(HeaderName::from_static(name), value);
        }
        req
    }

    /// Sends a request through the first daemon.
    pub async fn send(&self, req: HttpRequest) -> Result<HttpResponse, HttpError> {
        self.client.call(self.daemons[0].callers, req).await
    }

    /// Sends a new request and returns the status, 0 if the response was truncated or missing.
    pub async fn status(&mut self, kind: &str) -> u16 {
        let req = self.request(kind);
        self.send(req).await.map_or(0, |answer| answer.status.as_u16())
    }

    /// Sends a new request and returns its ID with the status and body of the response, `None` if it
    /// was truncated or missing.
    pub async fn answer(&mut self, kind: &str) -> (String, Option<(u16, String)>) {
        let req = self.request(kind);
        let id = req.headers["x-request-id"].to_str().expect("text").to_owned();
        let answer = self.send(req).await.ok();
        let text = |body: &[u8]| String::from_utf8_lossy(body).into_owned();
        (id, answer.map(|answer| (answer.status.as_u16(), text(&answer.body))))
    }

    /// Number of times that replicas executed the request with this ID.
    pub fn runs(&self, id: &str) -> usize {
        let replicas = self.models.iter().chain(&self.desks);
        let seen = replicas.flat_map(Replica::seen);
        let of_id = seen.filter(|req| req.headers.get("x-request-id").is_some_and(|i| i == id));
        of_id.filter(|req| req.has_run).count()
    }
}

/// A stream that breaks off after its first event.
pub const FIRST_EVENT: BrokenAnswer = BrokenAnswer {
    framing: AnswerFraming::Chunked,
    at: BreakPoint::BetweenEvents,
    end: ConnectionEnd::Reset,
};

/// Result that a caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// A complete successful response, possibly of another replica than the first.
    Whole,
    /// A response with this status.
    Status(u16),
    /// A truncated response that the caller can tell from a complete one.
    Broken,
}

/// Whether a body is the complete response to a request: for a stream, each event exactly once.
pub fn is_complete(kind: &str, id: &str, body: &str) -> bool {
    match kind {
        "safe" | "unsafe" => body.ends_with(&format!(" {id} with 300 bytes")) || body.contains(id),
        _ => (1..=4).all(|n| body.matches(&format!("token {n}\n")).count() == 1),
    }
}

async fn replicas(name: &str, count: usize) -> Vec<Replica> {
    let mut replicas = Vec::new();
    for number in 0..count {
        replicas.push(Replica::start(&format!("{name}{number}")).await);
    }
    replicas
}

/// Address from which all daemons of a test connect to the store.
pub const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

//! A deployment with replicas of two versions of the service `desk`, and load on it.

use super::support::Cluster;
use bytes::Bytes;
use cassiagw_core::forwarding::{ForwardParams, RolloutLimits};
use cassiagw_platform_standins::{CallerFields, Replica, SeenRequest, VersionFault};
use cassiagw_surfaces::http::{HttpClient, HttpRequest};
use hyper::{Method, header::HeaderName};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep};

/// Bounds on what a bad version may get.
pub const LIMITS: RolloutLimits =
    RolloutLimits { expose_share: 0.1, expose_slack: 50, rollback: Duration::from_secs(5) };
/// Callers that send at once.
const CALLERS: usize = 6;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(8);

/// Replicas `d0`, ... of version `v1` and `n0`, ... of version `v2`, and daemons.
pub struct RolloutCluster {
    pub cluster: Cluster,
    pub new: Vec<Replica>,
}

impl RolloutCluster {
    /// Starts the old replicas and the daemons, then lists the new replicas.
    pub async fn start(
        daemons: usize,
        old: usize,
        new: usize,
        fault: Option<VersionFault>,
    ) -> Self {
        let params = ForwardParams { rollout: Some(LIMITS), ..ForwardParams::default() };
        let mut cluster = Cluster::start_with(1, old, params).await;
        for _ in 1..daemons {
            cluster.add_daemon(&[]).await;
        }
        cluster.wait_until("all daemons are members", async |c| c.store.members() == daemons).await;
        let mut cluster = Self { cluster, new: Vec::new() };
        for number in 0..new {
            cluster.add_new(&format!("n{number}"), "v2", fault).await;
        }
        cluster
    }

    /// Starts and lists a replica of a version.
    pub async fn add_new(&mut self, id: &str, version: &str, fault: Option<VersionFault>) {
        let replica = Replica::start(id).await;
        replica.set_software(version, fault);
        self.new.push(replica);
    }

    /// Lists the new replicas and orders their rollout.
    pub fn order(&self, duration_s: f64) {
        self.list_new();
        self.cluster.store.order_rollout("desk", "v2", duration_s);
    }

    pub fn list_new(&self) {
        let store = &self.cluster.store;
        self.new.iter().for_each(|replica| store.list_replica(replica, "desk", "ready"));
    }

    /// State of the rollout as operators read it.
    pub fn state(&self) -> String {
        self.cluster.store.rollout_status("desk").0
    }

    /// Phase in the record of the daemons.
    pub fn phase(&self) -> String {
        self.cluster.store.rollout_phase("desk")
    }

    pub async fn wait_for_state(&self, state: &str) {
        let what = format!("the state is {state}");
        let store = &self.cluster.store;
        let is_reached = async |_: &Cluster| store.rollout_status("desk").0 == state;
        self.cluster.wait_until(&what, is_reached).await;
    }

    pub async fn wait_for_phase(&self, phase: &str) {
        let what = format!("the phase is {phase}");
        let store = &self.cluster.store;
        let is_reached = async |_: &Cluster| store.rollout_phase("desk") == phase;
        self.cluster.wait_until(&what, is_reached).await;
    }

    /// Requests that reached old replicas.
    pub fn seen_by_old(&self) -> Vec<SeenRequest> {
        self.cluster.desks.iter().flat_map(Replica::seen).collect()
    }

    /// Requests that reached new replicas.
    pub fn seen_by_new(&self) -> Vec<SeenRequest> {
        self.new.iter().flat_map(Replica::seen).collect()
    }

    /// Requests that run at old replicas.
    pub fn running_at_old(&self) -> u32 {
        self.cluster.desks.iter().map(Replica::running).sum()
    }

    /// Asserts that the new version got no more than a bad version may get of the requests since the
    /// order.
    pub fn assert_exposure(&self, ordered_at: Instant) {
        let since = |seen: Vec<SeenRequest>| {
            seen.iter().filter(|req| req.at.is_some_and(|at| at >= ordered_at)).count()
        };
        let (old, new) = (since(self.seen_by_old()), since(self.seen_by_new()));
        let allowed = LIMITS.expose_share * (old + new) as f64 + LIMITS.expose_slack as f64;
        assert!(new as f64 <= allowed, "{new} of {} requests reached the bad version", old + new);
    }

    /// Asserts that no request reaches the replicas in the next time.
    pub async fn assert_nothing_reaches(&self, replicas: &[Replica], time: Duration) {
        let seen = || replicas.iter().map(|replica| replica.seen().len()).sum::<usize>();
        let before = seen();
        sleep(time).await;
        let rollouts = self.cluster.dump(0).await["rollouts"].clone();
        assert_eq!(seen(), before, "requests reached a version that is closed: {rollouts}");
    }
}

/// Status of the answer that a caller got, 0 without one.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub status: u16,
}

/// Callers that send requests of the kinds `safe` and `unsafe` to all daemons until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<Vec<Outcome>>,
}

impl Load {
    pub fn start(cluster: &Cluster) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let daemons: Vec<SocketAddr> =
            cluster.daemons.iter().map(|daemon| daemon.callers).collect();
        let mut tasks = JoinSet::new();
        for caller in 0..CALLERS {
            tasks.spawn(call_until_stopped(caller, daemons.clone(), stop.clone()));
        }
        Self { stop, tasks }
    }

    pub async fn stop(mut self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        let mut outcomes = Vec::new();
        while let Some(of_caller) = self.tasks.join_next().await {
            outcomes.extend(of_caller.expect("callers do not panic"));
        }
        outcomes
    }
}

async fn call_until_stopped(
    caller: usize,
    daemons: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> Vec<Outcome> {
    let client = HttpClient::default();
    let mut outcomes = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let number = outcomes.len();
        let kind = ["safe", "unsafe"][number % 2];
        let id = format!("load-{caller}-{number}");
        let daemon = daemons[(caller + number / 2) % daemons.len()];
        let answer = client.call(daemon, request(kind, &id)).await;
        let status = answer.map_or(0, |answer| answer.status.as_u16());
        outcomes.push(Outcome { status });
        sleep(PAUSE).await;
    }
    outcomes
}

fn request(kind: &str, id: &str) -> HttpRequest {
    let method = if kind == "safe" { Method::GET } else { Method::POST };
    let mut req = HttpRequest::new(method, format!("/{kind}/thing"))
        .with_body(Bytes::from_static(&[b'x'; 100]));
    let fields = CallerFields { id, key: "key-1", time_ms: 3_000, kind };
    for (name, value) in fields.fields() {
        let value = value.try_into().expect("a field value");
        req = req.with_header(HeaderName::from_static(name), value);
    }
    req
}

/// Statuses that do not mean success, with the number of each.
pub fn failures(outcomes: &[Outcome]) -> Vec<(u16, usize)> {
    let mut counts = std::collections::BTreeMap::new();
    for outcome in outcomes.iter().filter(|outcome| outcome.status != 200) {
        *counts.entry(outcome.status).or_insert(0) += 1;
    }
    counts.into_iter().collect()
}

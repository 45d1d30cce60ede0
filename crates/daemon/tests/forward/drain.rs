//! Graceful shutdown, disconnecting callers and deadlines.

use super::support::Cluster;
use cassiagw_platform_standins::{
    Behaviour::{NoAnswer, Slow},
    SettingsDocument,
};
use cassiagw_surfaces::http::{HttpError, HttpResponse};
use hyper::header::HeaderName;
use std::time::{Duration, Instant};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Time in which an answer must arrive; the requests time out after 20 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn graceful_stop_completes_running_requests() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.desks[0].plan(&[Slow(Duration::from_millis(1_500))]);
    let req = cluster.request("unsafe");
    let (client, callers) = (cluster.client.clone(), cluster.daemons[0].callers);
    let running = tokio::spawn(async move { client.call(callers, req).await });
    cluster
        .wait_until("the replica has received the request", async |c| !c.desks[0].seen().is_empty())
        .await;
    cluster.daemons[0].stop();
    cluster.wait_until("the daemon is not ready", async |c| !c.is_ready(0).await).await;
    assert_eq!(
        cluster.status("unsafe").await,
        200,
        "requests are accepted until the load balancer has removed the daemon"
    );
    let answer = running.await.expect("the task does not panic").expect("a response");
    assert_eq!(answer.status, 200);
    cluster.wait_until("the daemon exits", async |c| c.daemons[0].task.is_finished()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn caller_disconnect_cancels_the_request() {
    for kind in ["safe", "unsafe", "stream", "resumable"] {
        let mut cluster = Cluster::start(1, 1).await;
        let replicas = [&cluster.desks[0], &cluster.models[0]];
        replicas.iter().for_each(|replica| replica.plan(&[NoAnswer]));
        let req = cluster.request(kind);
        let (client, callers) = (cluster.client.clone(), cluster.daemons[0].callers);
        let running = tokio::spawn(async move { client.call(callers, req).await });
        let seen = |c: &Cluster| {
            if kind.ends_with("safe") { c.desks[0].seen() } else { c.models[0].seen() }
        };
        cluster
            .wait_until("the replica has received the request", async |c| !seen(c).is_empty())
            .await;
        running.abort();
        cluster
            .wait_until("the replica sees the disconnect", async |c| seen(c)[0].was_abandoned)
            .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn deadline_gives_504() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.desks[0].plan(&[NoAnswer]);
    let start = Instant::now();
    let name = HeaderName::from_static("x-deadline-ms");
    let req = cluster.request("unsafe").with_header(name, "300".try_into().expect("text"));
    let answer = cluster.send(req).await.expect("a response");
    assert_eq!(answer.status, 504, "the request may have been executed");
    assert!(start.elapsed() >= Duration::from_millis(300));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unservable_requests_get_retry_after() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.store.unlist("d0");
    loop {
        let req = cluster.request("unsafe");
        let answer = cluster.send(req).await.expect("a response");
        if answer.status == 503 {
            let after = answer.headers["retry-after"].to_str().expect("text");
            assert!(after.parse::<f64>().is_ok_and(|s| s > 0.0), "{after}");
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

impl Cluster {
    /// Starts a second daemon with a grace period and a runtime of its own, and lets requests take
    /// longer than that.
    async fn add_daemon_with_grace(&mut self, grace: Duration) {
        self.store.put_settings(&SettingsDocument::new(2).with_timeout_ms(20_000));
        self.params.grace = grace;
        self.add_daemon_with_runtime(&[]).await;
        let has_both = async |c: &Self| c.dump(1).await["settings_version"] == 2;
        self.wait_until("the settings are in force", has_both).await;
    }

    /// Waits for the answer to a request that may have run, and for the end of the second daemon.
    ///
    /// All that the daemon has not written when it ends is lost with its runtime, so an answer that
    /// arrives was written before the end, whenever it is read.
    async fn expect_answer_before_end(
        &self,
        running: JoinHandle<Result<HttpResponse, HttpError>>,
        case: &str,
    ) {
        let answer = timeout(ANSWER_TIMEOUT, running).await;
        let answer = answer.unwrap_or_else(|_| panic!("{case}: no answer in time"));
        let answer = answer.expect("the task does not panic");
        let answer = answer.unwrap_or_else(|error| panic!("{case}: it was cut: {error}"));
        assert_eq!(answer.status, 502, "{case}: it may have run");
        let has_ended = async |c: &Self| c.daemons[1].task.is_finished();
        self.wait_until("the daemon ends", has_ended).await;
    }

    /// Number of requests that replicas got.
    fn arrivals(&self) -> usize {
        self.desks.iter().chain(&self.models).map(|replica| replica.seen().len()).sum()
    }
}

/// A request that runs when its daemon is stopped, or comes after that.
struct StopCase {
    kind: &'static str,
    comes_after_stop: bool,
}

const STOP_CASES: [StopCase; 5] = [
    StopCase { kind: "unsafe", comes_after_stop: false },
    StopCase { kind: "unsafe", comes_after_stop: true },
    StopCase { kind: "safe", comes_after_stop: true },
    StopCase { kind: "stream", comes_after_stop: false },
    StopCase { kind: "resumable", comes_after_stop: true },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_still_runs_at_the_end_of_the_grace_is_answered() {
    for StopCase { kind, comes_after_stop } in STOP_CASES {
        let mut cluster = Cluster::start(1, 1).await;
        cluster.add_daemon_with_grace(Duration::from_millis(3_200)).await;
        cluster.desks[0].plan(&[NoAnswer; 2]);
        cluster.models[0].plan(&[NoAnswer; 2]);
        if comes_after_stop {
            cluster.daemons[1].stop();
            let stops = async |c: &Cluster| !c.is_ready(1).await;
            cluster.wait_until("the daemon stops", stops).await;
        }
        let req = cluster.request(kind);
        let (client, callers) = (cluster.client.clone(), cluster.daemons[1].callers);
        let running = tokio::spawn(async move { client.call(callers, req).await });
        cluster.wait_until("it is passed on", async |c| c.arrivals() > 0).await;
        cluster.daemons[1].stop();
        cluster.expect_answer_before_end(running, &format!("{kind}, {comes_after_stop}")).await;
    }
}

/// Guards against a process that is not scheduled when its answers are due, and ends as soon as it
/// runs again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_still_runs_is_answered_by_a_daemon_that_was_frozen_at_the_end_of_the_grace() {
    for kind in ["unsafe", "stream"] {
        let mut cluster = Cluster::start(1, 1).await;
        cluster.add_daemon_with_grace(Duration::from_millis(3_200)).await;
        cluster.desks[0].plan(&[NoAnswer]);
        cluster.models[0].plan(&[NoAnswer]);
        let req = cluster.request(kind);
        let (client, callers) = (cluster.client.clone(), cluster.daemons[1].callers);
        let running = tokio::spawn(async move { client.call(callers, req).await });
        cluster.wait_until("it is passed on", async |c| c.arrivals() > 0).await;
        cluster.daemons[1].stop();
        // From after the balancer's removal time, until the end of the process is due.
        sleep(Duration::from_millis(2_550)).await;
        cluster.daemons[1].freeze(Duration::from_millis(700));
        cluster.expect_answer_before_end(running, kind).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_cannot_be_answered_in_the_grace_is_refused_at_once() {
    for kind in ["unsafe", "safe", "stream"] {
        let mut cluster = Cluster::start(1, 1).await;
        cluster.add_daemon_with_grace(Duration::from_millis(700)).await;
        cluster.daemons[1].stop();
        sleep(Duration::from_millis(100)).await;
        let req = cluster.request(kind);
        let answer = cluster.client.call(cluster.daemons[1].callers, req).await;
        assert_eq!(answer.expect("an answer").status, 503, "{kind}");
        assert_eq!(cluster.arrivals(), 0, "{kind}: it is not passed on");
    }
}

//! Graceful shutdown, disconnecting callers and deadlines.

use super::support::Cluster;
use cassiagw_platform_standins::Behaviour::{NoAnswer, Slow};
use hyper::header::HeaderName;
use std::time::{Duration, Instant};
use tokio::time::sleep;

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

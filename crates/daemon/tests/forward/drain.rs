//! Graceful shutdown, disconnecting callers and deadlines.

use super::support::World;
use cassiagw_platform_standins::Behaviour::{NoAnswer, Slow};
use hyper::header::HeaderName;
use std::time::{Duration, Instant};
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_graceful_stop_cuts_off_no_request() {
    let mut world = World::start(1, 1).await;
    world.desks[0].plan(&[Slow(Duration::from_millis(1_500))]);
    let req = world.request("unsafe");
    let (client, callers) = (world.client.clone(), world.daemons[0].callers);
    let running = tokio::spawn(async move { client.call(callers, req).await });
    world.until("it runs", async |w| !w.desks[0].seen().is_empty()).await;
    world.daemons[0].stop();
    world.until("it is not ready", async |w| !w.is_ready(0).await).await;
    assert_eq!(world.status("unsafe").await, 200, "callers still come until the balancer knows");
    let answer = running.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status, 200);
    world.until("it ends by itself", async |w| w.daemons[0].task.is_finished()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_caller_that_leaves_ends_the_work() {
    for kind in ["safe", "unsafe", "stream", "resumable"] {
        let mut world = World::start(1, 1).await;
        let replicas = [&world.desks[0], &world.models[0]];
        replicas.iter().for_each(|replica| replica.plan(&[NoAnswer]));
        let req = world.request(kind);
        let (client, callers) = (world.client.clone(), world.daemons[0].callers);
        let running = tokio::spawn(async move { client.call(callers, req).await });
        let of =
            |w: &World| if kind.ends_with("safe") { w.desks[0].seen() } else { w.models[0].seen() };
        world.until("it runs", async |w| !of(w).is_empty()).await;
        running.abort();
        world.until("the replica is told", async |w| of(w)[0].was_abandoned).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_comes_when_the_time_is_over() {
    let mut world = World::start(1, 1).await;
    world.desks[0].plan(&[NoAnswer]);
    let start = Instant::now();
    let name = HeaderName::from_static("x-deadline-ms");
    let req = world.request("unsafe").with_header(name, "300".try_into().expect("text"));
    let answer = world.send(req).await.expect("an answer");
    assert_eq!(answer.status, 504, "it may have run");
    assert!(start.elapsed() >= Duration::from_millis(300));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_cannot_be_served_is_refused_with_a_time_to_come_back() {
    let mut world = World::start(1, 1).await;
    world.store.unlist("d0");
    loop {
        let req = world.request("unsafe");
        let answer = world.send(req).await.expect("an answer");
        if answer.status == 503 {
            let after = answer.headers["retry-after"].to_str().expect("text");
            assert!(after.parse::<f64>().is_ok_and(|s| s > 0.0), "{after}");
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

//! Endpoints that say in their answers that they leave.

use super::support::Cluster;
use cassiagw_platform_standins::Replica;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time after an answer that says so for which requests may still go there.
const DRAIN: Duration = Duration::from_secs(2);
/// Requests sent in each step of a case.
const REQUESTS: usize = 12;

fn replicas<'a>(cluster: &'a Cluster, kind: &str) -> (&'static str, &'a [Replica]) {
    match kind {
        "safe" | "unsafe" => ("desk", &cluster.desks),
        _ => ("models", &cluster.models),
    }
}

/// Sends requests through each daemon in turn; returns how many were served.
async fn send(cluster: &mut Cluster, kind: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let daemon = cluster.daemons[number % cluster.daemons.len()].callers;
        let req = cluster.request(kind);
        let answer = cluster.client.call(daemon, req).await;
        served += usize::from(answer.is_ok_and(|answer| answer.status == 200));
    }
    served
}

/// Something after which the platform's list still, or again, has the leaving endpoint as ready.
struct Case {
    what: &'static str,
    change: fn(&Cluster, &'static str, &str),
}

const CASES: [Case; 3] = [
    Case { what: "the list still says ready", change: |_, _, _| {} },
    Case { what: "it is written as ready again", change: |c, _, _| c.list("ready") },
    Case {
        what: "its entry lapses and returns",
        change: |c, _, id| {
            c.store.unlist(id);
            c.list("ready");
        },
    },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endpoints_that_said_they_leave_get_no_requests() {
    for kind in ["safe", "unsafe", "stream"] {
        let mut cluster = Cluster::start(2, 2).await;
        cluster.add_daemon(&[]).await;
        cluster.wait_until("both daemons are members", async |c| c.store.members() == 2).await;
        assert_eq!(send(&mut cluster, kind).await, REQUESTS, "{kind}");
        let (service, all) = replicas(&cluster, kind);
        // Prompts with the same parts prefer one engine.
        let at = (0..all.len()).max_by_key(|at| all[*at].seen().len()).expect("a replica");
        let id = all[at].id.clone();
        all[at].set_leaving(true);
        assert_eq!(send(&mut cluster, kind).await, REQUESTS, "{kind}: all are served");
        sleep(DRAIN).await;
        for case in CASES {
            (case.change)(&cluster, service, &id);
            sleep(Duration::from_millis(300)).await;
            let told_at = Instant::now();
            assert_eq!(send(&mut cluster, kind).await, REQUESTS, "{kind}: {}", case.what);
            let seen = replicas(&cluster, kind).1[at].seen();
            let late = seen.iter().filter(|req| req.at.is_some_and(|at| at > told_at)).count();
            assert_eq!(late, 0, "{kind}: {}", case.what);
        }
    }
}

/// A process that starts anew in place of one that left is not leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_new_process_is_not_held_for_the_one_that_left() {
    let mut cluster = Cluster::start(1, 2).await;
    for desk in &cluster.desks {
        desk.set_leaving(true);
    }
    assert_eq!(send(&mut cluster, "safe").await, REQUESTS, "the last ones serve for a while");
    sleep(DRAIN).await;
    let started = Instant::now();
    assert_eq!(cluster.status("safe").await, 503, "all have left");
    assert!(started.elapsed() < Duration::from_millis(500), "that is told at once");
    cluster.desks[0].set_leaving(false);
    cluster.desks[0].set_born(2);
    cluster.list("ready");
    let serves = async |c: &Cluster| c.endpoint(0, "d0").await["leaving"] == false;
    cluster.wait_until("the new process is known", serves).await;
    assert_eq!(send(&mut cluster, "safe").await, REQUESTS, "the new process serves");
}

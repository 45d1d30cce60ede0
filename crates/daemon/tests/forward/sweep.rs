//! Every replica fault for every kind of route: what the caller gets and how often the request is
//! executed.

use super::support::{
    Cluster,
    Expected::{self, Broken, Status, Whole},
    is_complete,
};
use cassiagw_platform_standins::{
    Behaviour::{self, *},
    Replica, SettingsDocument,
};
use cassiagw_surfaces::http::HttpClient;
use std::time::Duration;
use tokio::task::JoinSet;

/// Expected results of a fault by kind of route.
struct Case {
    fault: Behaviour,
    at_most_once: Expected,
    /// For a stream that cannot be resumed. A fault after the first bytes truncates it, because
    /// these are already forwarded.
    stream: Expected,
    idempotent: Expected,
}

const fn case(
    fault: Behaviour,
    at_most_once: Expected,
    stream: Expected,
    idempotent: Expected,
) -> Case {
    Case { fault, at_most_once, stream, idempotent }
}

/// Expected results. `Whole` after a fault means that the request was retried, except for the last
/// three faults, whose response is complete.
#[rustfmt::skip]
const CASES: [Case; 17] = [
    //   fault         at most once  stream        idempotent
    case(Serve,        Whole,        Whole,        Whole),
    case(Shed,         Whole,        Whole,        Whole),
    case(Misdirected,  Whole,        Whole,        Whole),
    case(Fail,         Status(500),  Status(500),  Whole),
    case(UnmarkedRefusal(503), Status(502), Status(502), Whole),
    case(UnmarkedRefusal(429), Status(502), Status(502), Whole),
    case(UnmarkedRefusal(408), Status(502), Status(502), Whole),
    case(Close,        Status(502),  Status(502),  Whole),
    case(NoAnswer,     Status(504),  Status(504),  Whole),
    case(InvalidHttp,  Status(502),  Status(502),  Whole),
    case(WrongId,      Status(502),  Status(502),  Whole),
    case(Unsealed,     Status(502),  Status(502),  Whole),
    case(Cut,          Status(502),  Broken,       Whole),
    case(UnframedCrash, Status(502), Broken,       Whole),
    case(Unframed,     Whole,        Whole,        Whole),
    case(Extra,        Whole,        Whole,        Whole),
    case(Early,        Whole,        Whole,        Whole),
];

/// A stream without length that ends inside an event has been broken off. For other answers without
/// length, nothing tells the end from a cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stream_that_ends_inside_an_event_is_not_whole() {
    check_fault("stream", UnframedCut, Broken).await;
    check_fault("resumable", UnframedCut, Whole).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_fault_gives_the_expected_result() {
    for kind in ["safe", "unsafe", "stream", "resumable"] {
        for case in &CASES {
            let expected = match kind {
                "unsafe" => case.at_most_once,
                "stream" => case.stream,
                _ => case.idempotent,
            };
            check_fault(kind, case.fault, expected).await;
        }
    }
}

async fn check_fault(kind: &str, fault: Behaviour, expected: Expected) {
    let name = format!("{kind} {fault:?}");
    let mut cluster = Cluster::start(2, 2).await;
    // The replica that is selected first has the fault; later ones serve the request.
    let replicas = if matches!(kind, "safe" | "unsafe") { &cluster.desks } else { &cluster.models };
    Replica::plan_shared(replicas, &[fault]);
    let (id, answer) = cluster.answer(kind).await;
    let runs = cluster.runs(&id);
    match (expected, answer) {
        (Whole, Some((200, body))) => assert!(is_complete(kind, &id, &body), "{name}: {body}"),
        (Status(status), Some((got, _))) => assert_eq!(got, status, "{name}"),
        (Broken, None) => {}
        (expected, answer) => panic!("{name}: expected {expected:?}, got {answer:?}"),
    }
    let max_runs = if matches!(kind, "safe" | "resumable") { 2 } else { 1 };
    assert!(runs <= max_runs, "{name}: executed {runs} times");
    // Leftovers of a fault, such as a second response on the connection, must not reach the next
    // caller.
    for _ in 0..3 {
        let req = cluster.request(kind);
        let id = req.headers["x-request-id"].to_str().expect("text").to_owned();
        let answer = cluster.send(req).await.expect("a response");
        if answer.status == 200 {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(is_complete(kind, &id, &body), "{name}, next request: {body}");
        }
    }
}

/// Number of endpoints in the phase `Ready`, according to the daemon.
async fn endpoints(cluster: &Cluster) -> usize {
    let dump = cluster.dump(0).await;
    let endpoints = dump["endpoints"].as_array().expect("a list");
    endpoints.iter().filter(|endpoint| endpoint["phase"] == "Ready").count()
}

/// Guards against giving up an interrupted stream at its stream start timeout: once the first bytes
/// have been sent, the queued request may wait for capacity until its deadline. (Found in scenario
/// `mix`, seed 759441347209.)
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn interrupted_stream_waits_for_capacity_until_its_deadline() {
    const BUSY: Duration = Duration::from_millis(4_500);
    let mut cluster = Cluster::start(2, 1).await;
    cluster.store.put_settings(&SettingsDocument::new(2).with_timeout_ms(15_000));
    cluster
        .wait_until("the settings are in force", async |c| c.dump(0).await["settings_version"] == 2)
        .await;
    let (broken, full) = (&cluster.models[0], &cluster.models[1]);
    broken.plan(&[Cut]);
    full.plan(&[Slow(BUSY); 8]);
    cluster.store.list_replica(broken, "models", "draining");
    cluster.wait_until("only one engine accepts requests", async |c| endpoints(c).await == 2).await;
    let mut sending = JoinSet::new();
    for _ in 0..8 {
        let (req, callers) = (cluster.request("stream"), cluster.daemons[0].callers);
        sending
            .spawn(async move { HttpClient::default().call_within(callers, req, BUSY * 3).await });
    }
    cluster.wait_until("the engine is at capacity", async |c| c.models[1].seen().len() == 8).await;
    cluster.store.list_replica(&cluster.models[0], "models", "ready");
    cluster.wait_until("both engines accept requests", async |c| endpoints(c).await == 3).await;
    let req = cluster.request("resumable");
    let answer = cluster.client.call_within(cluster.daemons[0].callers, req, BUSY * 3).await;
    let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    assert!(body.as_ref().is_ok_and(|body| is_complete("resumable", "", body)), "{body:?}");
}

//! Every replica fault for every kind of route: what the caller gets and how often the request is
//! executed.

use super::support::World;
use cassiagw_platform_standins::{
    Behaviour::{self, *},
    Replica, SettingsDocument,
};
use cassiagw_surfaces::http::HttpClient;
use std::time::Duration;
use tokio::task::JoinSet;

/// Result that the caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// A complete successful response.
    Whole,
    /// A response with this status.
    Status(u16),
    /// A truncated response that the caller can tell from a complete one.
    Broken,
}

/// Expected results of a fault by kind of route.
struct Case {
    fault: Behaviour,
    once: Expected,
    /// For a stream that cannot be resumed.
    stream: Expected,
    again: Expected,
}

const fn case(fault: Behaviour, once: Expected, stream: Expected, again: Expected) -> Case {
    Case { fault, once, stream, again }
}

use Expected::{Broken, Status, Whole};

/// Expected results. `Whole` after a fault means that the request was retried.
#[rustfmt::skip]
const CASES: [Case; 16] = [
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
    case(Unframed,     Whole,        Whole,        Whole),
    case(Extra,        Whole,        Whole,        Whole),
    case(Early,        Whole,        Whole,        Whole),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_fault_has_its_outcome() {
    for kind in ["safe", "unsafe", "stream", "resumable"] {
        for case in &CASES {
            let expected = match kind {
                "unsafe" => case.once,
                "stream" => case.stream,
                _ => case.again,
            };
            check(kind, case.fault, expected).await;
        }
    }
}

async fn check(kind: &str, fault: Behaviour, expected: Expected) {
    let name = format!("{kind} {fault:?}");
    let mut world = World::start(2, 2).await;
    // The replica that is selected first has the fault; later ones serve the request.
    let replicas = if matches!(kind, "safe" | "unsafe") { &world.desks } else { &world.models };
    Replica::plan_shared(replicas, &[fault]);
    let (id, answer) = send_first(&mut world, kind).await;
    let runs = world.runs(&id);
    match (expected, answer) {
        (Whole, Some((200, body))) => assert!(is_whole(kind, &id, &body), "{name}: {body}"),
        (Status(status), Some((got, _))) => assert_eq!(got, status, "{name}"),
        (Broken, None) => {}
        (expected, answer) => panic!("{name}: expected {expected:?}, got {answer:?}"),
    }
    let most = if matches!(kind, "safe" | "resumable") { 2 } else { 1 };
    assert!(runs <= most, "{name}: ran {runs} times");
    // Leftovers of a fault, such as a second response on the connection, must not reach the next
    // caller.
    for _ in 0..3 {
        let req = world.request(kind);
        let id = req.headers["x-request-id"].to_str().expect("text").to_owned();
        let answer = world.send(req).await.expect("an answer");
        if answer.status == 200 {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(is_whole(kind, &id, &body), "{name}, next: {body}");
        }
    }
}

async fn send_first(world: &mut World, kind: &str) -> (String, Option<(u16, String)>) {
    let req = world.request(kind);
    let id = req.headers["x-request-id"].to_str().expect("text").to_owned();
    let answer = world.send(req).await.ok();
    let answer = answer
        .map(|answer| (answer.status.as_u16(), String::from_utf8_lossy(&answer.body).into_owned()));
    (id, answer)
}

fn is_whole(kind: &str, id: &str, body: &str) -> bool {
    match kind {
        "safe" | "unsafe" => body.ends_with(&format!(" {id} with 300 bytes")) || body.contains(id),
        _ => (1..=4).all(|n| body.matches(&format!("token {n}\n")).count() == 1),
    }
}

/// Number of endpoints in the phase `Ready`, according to the daemon.
async fn endpoints(world: &World) -> usize {
    let dump = world.dump(0).await;
    let endpoints = dump["endpoints"].as_array().expect("a list");
    endpoints.iter().filter(|endpoint| endpoint["phase"] == "Ready").count()
}

/// Guards against giving up an interrupted stream at its stream start timeout: once the first bytes
/// have been sent, the queued request may wait for capacity until its deadline. (Found in scenario
/// `mix`, seed 759441347209.)
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stream_that_has_begun_waits_for_room_until_its_deadline() {
    const BUSY: Duration = Duration::from_millis(4_500);
    let mut world = World::start(2, 1).await;
    world.store.put_settings(&SettingsDocument::new(2).with_timeout_ms(15_000));
    world
        .until("the settings are in force", async |w| w.dump(0).await["settings_version"] == 2)
        .await;
    let (broken, full) = (&world.models[0], &world.models[1]);
    broken.plan(&[Cut]);
    full.plan(&[Slow(BUSY); 8]);
    world.store.list_replica(broken, "models", "draining");
    world.until("only one takes requests", async |w| endpoints(w).await == 2).await;
    let mut sending = JoinSet::new();
    for _ in 0..8 {
        let (req, callers) = (world.request("stream"), world.daemons[0].callers);
        sending
            .spawn(async move { HttpClient::default().call_within(callers, req, BUSY * 3).await });
    }
    world.until("it is full", async |w| w.models[1].seen().len() == 8).await;
    world.store.list_replica(&world.models[0], "models", "ready");
    world.until("both take requests", async |w| endpoints(w).await == 3).await;
    let req = world.request("resumable");
    let answer = world.client.call_within(world.daemons[0].callers, req, BUSY * 3).await;
    let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    assert!(body.as_ref().is_ok_and(|body| is_whole("resumable", "", body)), "{body:?}");
}

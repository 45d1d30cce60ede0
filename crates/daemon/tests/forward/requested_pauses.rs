//! Endpoints that answer 503 and ask for a time without requests.

use super::support::Cluster;
use cassiagw_core::ids::FastMap;
use cassiagw_platform_standins::Replica;
use cassiagw_surfaces::http::HttpClient;
use hyper::header::RETRY_AFTER;
use std::time::{Duration, Instant};
use tokio::{task::JoinSet, time::sleep};

/// Time for which an endpoint asks for no requests, in seconds.
const PAUSE: &str = "2.5";
const PAUSE_TIME: Duration = Duration::from_millis(2_500);
/// Time after the answer in which requests may still arrive that were on their way.
const ON_THE_WAY: Duration = Duration::from_millis(500);
/// Requests that may arrive from one daemon after that and before the end of the pause.
const TOLERATED: usize = 2;
const INTERVAL: Duration = Duration::from_millis(25);

struct Case {
    kind: &'static str,
    /// Number of endpoints, of three, that ask for a pause.
    pausing: usize,
}

const CASES: [Case; 6] = [
    Case { kind: "safe", pausing: 1 },
    Case { kind: "safe", pausing: 3 },
    Case { kind: "unsafe", pausing: 2 },
    Case { kind: "stream", pausing: 1 },
    Case { kind: "stream", pausing: 3 },
    Case { kind: "resumable", pausing: 2 },
];

/// An answer: its status, the time until it came, and whether it tells when to come again.
struct Answer {
    status: u16,
    took: Duration,
    tells_when: bool,
}

/// Sends requests for the length of a pause through all daemons in turn. Returns which daemon each
/// was sent through, by its id, and the answers.
async fn load(cluster: &mut Cluster, kind: &str) -> (FastMap<String, usize>, Vec<Answer>) {
    let mut sending = JoinSet::new();
    let mut sent_through = FastMap::default();
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < PAUSE_TIME {
        number += 1;
        let daemon = number % cluster.daemons.len();
        let callers = cluster.daemons[daemon].callers;
        let req = cluster.request(kind);
        let id = req.headers["x-request-id"].to_str().expect("text").to_owned();
        sent_through.insert(id, daemon);
        sending.spawn(async move {
            let sent = Instant::now();
            let answer = HttpClient::default().call(callers, req).await.expect("an answer");
            Answer {
                status: answer.status.as_u16(),
                took: sent.elapsed(),
                tells_when: answer.headers.contains_key(RETRY_AFTER),
            }
        });
        sleep(INTERVAL).await;
    }
    (sent_through, sending.join_all().await)
}

/// Requests of one daemon that reached a replica in the pause that it had asked this daemon for.
fn arrivals_in_pause(
    replica: &Replica,
    sent_through: &FastMap<String, usize>,
    daemon: usize,
) -> usize {
    let seen = replica.seen();
    let of_daemon = seen.iter().filter(|req| {
        req.headers.get("x-request-id").and_then(|id| sent_through.get(id)) == Some(&daemon)
    });
    let arrivals: Vec<Instant> = of_daemon.filter_map(|req| req.at).collect();
    let Some(refused) = arrivals.first() else { return 0 };
    let in_pause = |at: &&Instant| **at > *refused + ON_THE_WAY && **at < *refused + PAUSE_TIME;
    arrivals.iter().filter(in_pause).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endpoints_get_no_requests_for_the_time_that_they_ask_for() {
    for Case { kind, pausing } in CASES {
        let mut cluster = Cluster::start(3, 3).await;
        cluster.add_daemon(&[]).await;
        cluster.wait_until("both daemons are members", async |c| c.store.members() == 2).await;
        let of_kind = |c: &Cluster| -> Vec<usize> {
            let all = if kind.contains("safe") { &c.desks } else { &c.models };
            all[..pausing].iter().for_each(|replica| replica.set_retry_after(Some(PAUSE)));
            (0..pausing).collect()
        };
        let pausing_at = of_kind(&cluster);
        let (sent_through, answers) = load(&mut cluster, kind).await;
        let all = if kind.contains("safe") { &cluster.desks } else { &cluster.models };
        for at in pausing_at {
            for daemon in 0..cluster.daemons.len() {
                let arrivals = arrivals_in_pause(&all[at], &sent_through, daemon);
                assert!(arrivals <= TOLERATED, "{kind}, {pausing} pause: {arrivals} requests");
            }
        }
        let served = answers.iter().filter(|answer| answer.status == 200).count();
        if pausing < all.len() {
            assert_eq!(served, answers.len(), "{kind}, {pausing} pause: the others serve");
            continue;
        }
        for answer in &answers {
            assert_eq!((answer.status, answer.tells_when), (503, true), "{kind}: it is refused");
            assert!(answer.took < Duration::from_millis(1_500), "{kind}: at once");
        }
        all.iter().for_each(|replica| replica.set_retry_after(None));
        sleep(ON_THE_WAY).await;
        let later = load(&mut cluster, kind).await.1;
        let served = later.iter().filter(|answer| answer.status == 200).count();
        assert!(served * 10 >= later.len() * 9, "{kind}: {served} served after the pause");
    }
}

//! Endpoints that become cold while nobody can write or read their entries.

use super::support::Cluster;
use cassiagw_platform_standins::{Outage, Replica, SettingsDocument};
use cassiagw_surfaces::http::HttpClient;
use std::time::{Duration, Instant};
use tokio::{task::JoinSet, time::sleep};

/// Requests a second that a cold endpoint takes.
const COLD_PER_S: f64 = 9.6;
/// Time for which an endpoint is cold.
const COLD: Duration = Duration::from_secs(3);
/// Requests that it may get in any second of that time, from all daemons together.
const MAX_IN_A_SECOND: f64 = COLD_PER_S * 1.5 + 5.0;
/// Pause between requests, about 100 a second.
const PAUSE: Duration = Duration::from_millis(10);

/// Most requests that a replica got in any second that begins from `from` on, while it was cold.
fn most_in_a_second(replica: &Replica, from: Instant) -> usize {
    let seen = replica.seen();
    let arrivals: Vec<Instant> = seen
        .iter()
        .filter_map(|req| req.at)
        .filter(|at| *at >= from && *at < from + COLD)
        .collect();
    let count = |start: &Instant| {
        let end = *start + Duration::from_secs(1);
        arrivals.iter().filter(|at| *at >= start && **at < end).count()
    };
    arrivals.iter().map(count).max().unwrap_or_default()
}

/// Guards against an endpoint that becomes cold while the store is known to be away and gets requests
/// at the full rate.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_endpoint_that_becomes_cold_while_the_store_is_away_gets_the_rate_of_cold_ones() {
    let mut cluster = Cluster::start_without_daemons(1, 2).await;
    cluster.store.put_settings(&SettingsDocument::new(2).with_cold_desks(COLD_PER_S));
    cluster.params.cold_ratio = 1.5;
    cluster.params.cold_slack = 5.0;
    cluster.add_daemon(&[]).await;
    cluster.add_daemon(&[]).await;
    cluster.wait_until("both daemons are members", async |c| c.store.members() == 2).await;
    cluster.store.set_outage(Outage::Refuse);
    for daemon in 0..2 {
        let is_lost = async |c: &Cluster| c.dump(daemon).await["store_answers"] == false;
        cluster.wait_until("the store is known to be away", is_lost).await;
    }
    let mut sending = JoinSet::new();
    let start = Instant::now();
    let mut cold_from = None;
    while start.elapsed() < COLD + Duration::from_secs(1) {
        if cold_from.is_none() && start.elapsed() > Duration::from_millis(500) {
            cluster.desks[0].set_cold(COLD);
            cold_from = Some(Instant::now());
        }
        let daemon = cluster.daemons[sending.len() % 2].callers;
        let req = cluster.request("safe");
        sending.spawn(async move { HttpClient::default().call(daemon, req).await });
        sleep(PAUSE).await;
    }
    let answers = sending.join_all().await;
    let served = answers.iter().flatten().filter(|answer| answer.status == 200).count();
    assert_eq!(served, answers.len(), "the warm endpoint takes the rest");
    let most = most_in_a_second(&cluster.desks[0], cold_from.expect("it became cold"));
    assert!(most as f64 <= MAX_IN_A_SECOND, "{most} requests in a second");
    assert!(most > 0, "what a cold endpoint takes is used");
}

//! Endpoints whose entries vanish beside failed calls to the store and after outages.

use super::support::Cluster;
use cassiagw_platform_standins::Outage;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

/// Time after the removal of its entry for which an endpoint may get requests.
const DRAIN: Duration = Duration::from_secs(2);
/// Requests sent at the end of each case.
const REQUESTS: usize = 12;

async fn wait_for_outage(cluster: &Cluster, outage: Outage, time: Duration) {
    cluster.store.set_outage(outage);
    sleep(time).await;
    cluster.store.set_outage(Outage::None);
    cluster
        .wait_until("the store is back", async |c| c.dump(0).await["store_answers"] == true)
        .await;
}

/// Guards against an endpoint that left getting requests after the time for which it still serves,
/// since its entry vanished beside a failed call or after an outage of the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_endpoint_that_left_gets_no_requests_after_the_drain() {
    struct Case {
        name: &'static str,
        outage: Option<Duration>,
        /// Time after the outage at which the entry is removed.
        after: Duration,
        is_watch_cut: bool,
    }
    let cases = [
        Case { name: "told by a watch", outage: None, after: Duration::ZERO, is_watch_cut: false },
        Case {
            name: "the waiting watch is cut",
            outage: None,
            after: Duration::ZERO,
            is_watch_cut: true,
        },
        Case {
            name: "some time after an outage",
            outage: Some(Duration::from_millis(1_500)),
            after: Duration::from_millis(1_200),
            is_watch_cut: false,
        },
        Case {
            name: "a watch is cut some time after an outage",
            outage: Some(Duration::from_millis(1_500)),
            after: Duration::from_millis(1_200),
            is_watch_cut: true,
        },
    ];
    for case in cases {
        let mut cluster = Cluster::start(0, 2).await;
        if let Some(outage) = case.outage {
            wait_for_outage(&cluster, Outage::Refuse, outage).await;
        }
        sleep(case.after).await;
        if case.is_watch_cut {
            cluster.store.cut_connections();
        }
        let removed_at = Instant::now();
        cluster.store.unlist("d0");
        sleep_until((removed_at + DRAIN).into()).await;
        let sent_at = Instant::now();
        for _ in 0..REQUESTS {
            assert_eq!(cluster.status("safe").await, 200, "{}", case.name);
        }
        let seen = cluster.desks[0].seen();
        let late = seen.iter().filter(|req| req.at.is_some_and(|at| at > sent_at)).count();
        assert_eq!(late, 0, "{}", case.name);
    }
}

/// Guards against the opposite: all endpoints of a service dropped at once, since their leases ran
/// out in an outage of the store, before they can have registered again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endpoints_whose_leases_ran_out_in_an_outage_are_used_until_they_are_back() {
    for outage in [Outage::Refuse, Outage::Silent] {
        let mut cluster = Cluster::start(0, 2).await;
        cluster.store.set_outage(outage);
        cluster
            .wait_until("the store is lost", async |c| c.dump(0).await["store_answers"] == false)
            .await;
        sleep(Duration::from_millis(1_500)).await;
        ["d0", "d1"].into_iter().for_each(|id| cluster.store.unlist(id));
        cluster.store.set_outage(Outage::None);
        let back_at = Instant::now();
        while back_at.elapsed() < Duration::from_millis(1_000) {
            assert_eq!(cluster.status("safe").await, 200, "{outage:?}: before they are back");
            sleep(Duration::from_millis(20)).await;
        }
        cluster.list("ready");
        sleep(DRAIN).await;
        assert_eq!(cluster.status("safe").await, 200, "{outage:?}: after they are back");
    }
}

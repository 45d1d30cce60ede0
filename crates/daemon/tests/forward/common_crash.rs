//! All replicas of a service crash at the same moment while one request runs on each of them.

use super::support::Cluster;
use cassiagw_platform_standins::{Behaviour, Replica};
use cassiagw_surfaces::http::{HttpClient, HttpRequest};
use std::time::Duration;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Number of requests sent at once, enough for each replica to run some of them.
const WAVE: usize = 18;
/// Time for which a request runs.
const RUN_TIME: Duration = Duration::from_millis(200);
/// Time from the start of a wave to the crash, in which its requests reach the replicas.
const UNTIL_CRASH: Duration = Duration::from_millis(120);
/// Time within which the request must be served once there are replicas.
const SOON: Duration = Duration::from_secs(12);

impl Cluster {
    async fn two_daemons() -> Self {
        let mut cluster = Self::start(1, 3).await;
        cluster.add_daemon(&[]).await;
        cluster.wait_until("both daemons are members", async |c| c.store.members() == 2).await;
        cluster
    }

    /// Sends the same request many times at once, through all daemons in turn.
    fn send_wave(&mut self) -> JoinSet<u16> {
        let slow = [Behaviour::Slow(RUN_TIME); 2 * WAVE];
        self.desks.iter().for_each(|desk| desk.plan(&slow));
        let mut wave = JoinSet::new();
        for number in 0..WAVE {
            let daemon = self.daemons[number % self.daemons.len()].callers;
            let req = self.request("safe");
            wave.spawn(async move { status(daemon, req).await });
        }
        wave
    }

    /// Lets all replicas of the service crash while a wave runs, and starts new ones.
    async fn crash_all_under_a_wave(&mut self) {
        let wave = self.send_wave();
        sleep(UNTIL_CRASH).await;
        self.desks.iter().for_each(Replica::crash_now);
        wave.join_all().await;
        for at in 0..self.desks.len() {
            let replica = Replica::start(&format!("{}+", self.desks[at].id)).await;
            self.store.unlist(&self.desks[at].id);
            self.store.list_replica(&replica, "desk", "ready");
            self.desks[at] = replica;
        }
    }

    /// Sends the request until a daemon serves it; returns how long that took.
    async fn time_until_served(&mut self, daemon: usize) -> Duration {
        let started = Instant::now();
        while started.elapsed() < 2 * SOON {
            let req = self.request("safe");
            if status(self.daemons[daemon].callers, req).await == 200 {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        started.elapsed()
    }

    async fn has_quarantine(&self, daemon: usize) -> bool {
        let dump = self.dump(daemon).await;
        dump["quarantine"]["quarantined"].as_array().is_some_and(|all| !all.is_empty())
    }
}

async fn status(daemon: std::net::SocketAddr, req: HttpRequest) -> u16 {
    let answer = HttpClient::default().call(daemon, req).await;
    answer.map_or(0, |answer| answer.status.as_u16())
}

/// Guards against a quarantine of a request that was answered a moment before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_was_answered_just_before_is_not_quarantined() {
    let mut cluster = Cluster::two_daemons().await;
    let statuses = cluster.send_wave().join_all().await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    cluster.crash_all_under_a_wave().await;
    sleep(Duration::from_secs(1)).await;
    for daemon in 0..2 {
        assert!(!cluster.has_quarantine(daemon).await, "daemon {daemon}");
        let time = cluster.time_until_served(daemon).await;
        assert!(time < Duration::from_secs(2), "daemon {daemon} served it after {time:?}");
    }
    assert_eq!(cluster.store.quarantined(), 0);
}

/// Guards against a wrong quarantine that holds for half a minute: the request had not been answered
/// before, so nothing tells it from one that crashes endpoints until a trial does.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_was_never_answered_is_tried_soon() {
    let mut cluster = Cluster::two_daemons().await;
    cluster.crash_all_under_a_wave().await;
    cluster.wait_until("it is in quarantine", async |c| c.has_quarantine(0).await).await;
    // Only one daemon makes trials.
    let mut sending = JoinSet::new();
    for daemon in [cluster.daemons[0].callers, cluster.daemons[1].callers] {
        let reqs: Vec<HttpRequest> = (0..200).map(|_| cluster.request("safe")).collect();
        sending.spawn(async move {
            let started = Instant::now();
            for req in reqs {
                if status(daemon, req).await == 200 {
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
            started.elapsed()
        });
    }
    let times = sending.join_all().await;
    assert!(times.iter().all(|time| *time < SOON), "served after {times:?}");
    cluster.wait_until("the key is gone", async |c| c.store.quarantined() == 0).await;
}

/// Guards against a wrong quarantine that outlives the daemons and is not tried when they are back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_wrong_quarantine_of_the_store_ends_soon_after_the_daemons_start() {
    let mut cluster = Cluster::two_daemons().await;
    cluster.crash_all_under_a_wave().await;
    cluster.wait_until("it is in the store", async |c| c.store.quarantined() == 1).await;
    cluster.daemons.clear();
    cluster.add_daemon(&[]).await;
    assert!(cluster.has_quarantine(0).await);
    let time = cluster.time_until_served(0).await;
    assert!(time < SOON, "served after {time:?}");
    cluster.wait_until("the key is gone", async |c| c.store.quarantined() == 0).await;
}

/// Guards against a wrong quarantine that lasts where the request never comes to the daemon that is
/// the first to make trials.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_wrong_quarantine_ends_wherever_the_request_comes() {
    for daemon in 0..2 {
        let mut cluster = Cluster::two_daemons().await;
        cluster.crash_all_under_a_wave().await;
        cluster.wait_until("it is in quarantine", async |c| c.has_quarantine(daemon).await).await;
        let time = cluster.time_until_served(daemon).await;
        assert!(time < SOON, "daemon {daemon} served it after {time:?}");
        let has_ended = async |c: &Cluster| !c.has_quarantine(1 - daemon).await;
        cluster.wait_until("it has ended at the other daemon", has_ended).await;
    }
}

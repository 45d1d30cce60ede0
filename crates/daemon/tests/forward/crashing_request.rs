//! One request, sent again and again, that crashes every endpoint which runs it.

use super::support::Cluster;
use bytes::Bytes;
use cassiagw_platform_standins::{Outage, Replica};
use cassiagw_surfaces::http::{HttpClient, HttpRequest};
use std::time::Duration;
use tokio::{task::JoinSet, time::sleep};

/// Body of the request that crashes endpoints.
const DEADLY: &str = "deadly";
/// Endpoints that may end under it: three, and one by what is on its way.
const MAX_CRASHES: usize = 4;
/// Pause between two comings of the request.
const PAUSE: Duration = Duration::from_millis(300);
/// Time in which an ended endpoint is back.
const RESTART: Duration = Duration::from_millis(900);
const COMINGS: usize = 10;

impl Cluster {
    fn deadly(&mut self, kind: &str) -> HttpRequest {
        self.request(kind).with_body(Bytes::from_static(DEADLY.as_bytes()))
    }

    fn of_kind(&mut self, kind: &str) -> (&'static str, &mut Vec<Replica>) {
        match kind {
            "safe" | "unsafe" => ("desk", &mut self.desks),
            _ => ("models", &mut self.models),
        }
    }

    /// Starts a replica for each one that has crashed; returns their number.
    async fn replace_ended(&mut self, kind: &str) -> usize {
        let (service, all) = self.of_kind(kind);
        let ended: Vec<usize> = (0..all.len()).filter(|at| all[*at].has_crashed()).collect();
        for at in &ended {
            let old = self.of_kind(kind).1[*at].id.clone();
            let replica = Replica::start(&format!("{old}+")).await;
            replica.crash_on_body(DEADLY);
            self.store.unlist(&old);
            self.store.list_replica(&replica, service, "ready");
            self.of_kind(kind).1[*at] = replica;
        }
        ended.len()
    }

    async fn status_of(&self, number: usize, req: HttpRequest) -> u16 {
        let daemon = self.daemons[number % self.daemons.len()].callers;
        let answer = self.client.call(daemon, req).await;
        answer.map_or(0, |answer| answer.status.as_u16())
    }

    /// Lets the request come at all daemons in turn; returns how many endpoints ended and the
    /// statuses of its answers.
    async fn let_it_come(&mut self, kind: &str) -> (usize, Vec<u16>) {
        self.of_kind(kind).1.iter().for_each(|replica| replica.crash_on_body(DEADLY));
        let (mut ended, mut statuses) = (0, Vec::new());
        for number in 0..COMINGS {
            let req = self.deadly(kind);
            statuses.push(self.status_of(number, req).await);
            sleep(PAUSE).await;
            if number % 3 == 2 {
                ended += self.replace_ended(kind).await;
            }
        }
        ended += self.replace_ended(kind).await;
        sleep(PAUSE).await;
        (ended, statuses)
    }
}

async fn three_daemons() -> Cluster {
    let mut cluster = Cluster::start(6, 6).await;
    cluster.add_daemon(&[]).await;
    cluster.add_daemon(&[]).await;
    cluster.wait_until("all daemons are members", async |c| c.store.members() == 3).await;
    cluster
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_crashes_endpoints_is_kept_away_after_three() {
    for kind in ["safe", "unsafe", "stream", "resumable"] {
        let mut cluster = three_daemons().await;
        let (ended, statuses) = cluster.let_it_come(kind).await;
        assert!(ended <= MAX_CRASHES, "{kind}: {ended} endpoints ended, {statuses:?}");
        assert!(statuses.ends_with(&[503; 4]), "{kind}: {statuses:?}");
        for number in 0..6 {
            let req = cluster.request(kind);
            assert_eq!(cluster.status_of(number, req).await, 200, "{kind}: another body");
        }
    }
}

/// The request comes at the same time at all daemons, so that some are on their way to others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_that_crash_endpoints_may_come_at_once_without_the_store() {
    let mut cluster = three_daemons().await;
    cluster.store.set_outage(Outage::Refuse);
    cluster.desks.iter().for_each(|replica| replica.crash_on_body(DEADLY));
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let mut sending = JoinSet::new();
        for number in 0..3 {
            let (daemon, req) = (cluster.daemons[number].callers, cluster.deadly("safe"));
            sending.spawn(async move {
                let answer = HttpClient::default().call(daemon, req).await;
                answer.map_or(0, |answer| answer.status.as_u16())
            });
        }
        statuses.extend(sending.join_all().await);
        sleep(RESTART).await;
    }
    let ended = cluster.desks.iter().filter(|replica| replica.has_crashed()).count();
    assert!(ended < cluster.desks.len(), "some endpoint is left: {statuses:?}");
    assert!(statuses.ends_with(&[503; 3]), "{statuses:?}");
}

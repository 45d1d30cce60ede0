//! Rollouts of a service: the traffic moves to a good version, and away from a bad one.

use super::{
    rollout_support::{Load, RolloutCluster, failures},
    support::{Cluster, FIRST_EVENT, is_complete},
};
use cassiagw_core::forwarding::ForwardParams;
use cassiagw_platform_standins::{Behaviour, Replica, SeenRequest, VersionFault};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Guards against a rollout that ends while requests run at old replicas, which stop at its end
/// without draining, and against requests that fail because of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_good_version_takes_over_with_nothing_in_flight() {
    let rollout = RolloutCluster::start(2, 2, 2, None).await;
    // Some requests run long at old replicas.
    let slow = VersionFault::new(Behaviour::Slow(Duration::from_millis(900)), 40);
    rollout.cluster.desks.iter().for_each(|desk| desk.set_software("v1", Some(slow)));
    let load = Load::start(&rollout.cluster);
    sleep(Duration::from_millis(500)).await;
    rollout.order(6.0);
    let ordered_at = Instant::now();
    rollout.wait_for_state("running").await;
    rollout.wait_for_phase("shift").await;
    rollout.wait_for_state("completed").await;
    assert_eq!(rollout.running_at_old(), 0, "requests run at old replicas at the end");
    let old = &rollout.cluster.desks;
    rollout.assert_nothing_reaches(old, Duration::from_millis(500)).await;
    assert!(ordered_at.elapsed() < Duration::from_secs(8), "{:?}", ordered_at.elapsed());
    let outcomes = load.stop().await;
    assert_eq!(failures(&outcomes), [], "of {} requests", outcomes.len());
    assert_eq!(rollout.cluster.store.rollout_status("desk").1, "v2");
}

/// Guards against a bad version that gets more requests than its share, that gets any after the
/// rollback, or that is not recognised.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_bad_version_is_rolled_back() {
    struct Case {
        name: &'static str,
        fault: VersionFault,
    }
    let cases = [
        Case { name: "half fail", fault: VersionFault::new(Behaviour::Fail, 2) },
        Case { name: "closes later", fault: VersionFault::new(Behaviour::Close, 1).with_after(10) },
        Case { name: "all close", fault: VersionFault::new(Behaviour::Close, 1) },
        Case {
            name: "one route",
            fault: VersionFault::new(Behaviour::Fail, 1).with_path("/unsafe/"),
        },
        Case { name: "later", fault: VersionFault::new(Behaviour::Unsealed, 1).with_after(15) },
    ];
    for Case { name, fault } in cases {
        let rollout = RolloutCluster::start(2, 2, 2, Some(fault)).await;
        let load = Load::start(&rollout.cluster);
        sleep(Duration::from_millis(300)).await;
        let ordered_at = Instant::now();
        rollout.order(8.0);
        rollout.wait_for_state("rolled_back").await;
        rollout.assert_nothing_reaches(&rollout.new, Duration::from_millis(400)).await;
        rollout.assert_exposure(ordered_at);
        let outcomes = load.stop().await;
        assert!(outcomes.len() > 100, "{name}");
    }
}

/// Guards against a rollout that stands still because the daemon that led it is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn another_daemon_goes_on_when_the_leader_is_killed() {
    let mut rollout = RolloutCluster::start(3, 2, 2, None).await;
    let load = Load::start(&rollout.cluster);
    rollout.order(9.0);
    rollout.wait_for_phase("trial").await;
    let holder = rollout.cluster.store.order_holder();
    let leader = holder.strip_prefix("daemon-").and_then(|name| name.parse::<usize>().ok());
    drop(rollout.cluster.daemons.remove(leader.expect("a leader")));
    rollout.wait_for_state("completed").await;
    assert_eq!(rollout.running_at_old(), 0);
    let old = &rollout.cluster.desks;
    rollout.assert_nothing_reaches(old, Duration::from_millis(300)).await;
    load.stop().await;
}

/// Guards against a version that goes on to get requests after its order was withdrawn.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_withdrawn_order_is_rolled_back() {
    let rollout = RolloutCluster::start(2, 2, 2, None).await;
    let load = Load::start(&rollout.cluster);
    rollout.order(20.0);
    rollout.wait_for_phase("trial").await;
    sleep(Duration::from_millis(500)).await;
    rollout.cluster.store.withdraw_rollout("desk");
    rollout.wait_for_state("rolled_back").await;
    rollout.assert_nothing_reaches(&rollout.new, Duration::from_millis(400)).await;
    let outcomes = load.stop().await;
    assert_eq!(failures(&outcomes), []);
}

/// Guards against a former target that goes on to get requests, and against a rollout that does not
/// begin since another one ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_changed_order_begins_anew() {
    let mut rollout = RolloutCluster::start(2, 2, 1, None).await;
    let load = Load::start(&rollout.cluster);
    rollout.order(20.0);
    rollout.wait_for_phase("trial").await;
    rollout.add_new("n9", "v3", None).await;
    rollout.list_new();
    rollout.cluster.store.order_rollout("desk", "v3", 5.0);
    let is_running = async |c: &Cluster| {
        c.store.rollout_status("desk") == ("running".to_owned(), "v3".to_owned())
    };
    rollout.cluster.wait_until("the new rollout runs", is_running).await;
    sleep(Duration::from_millis(300)).await;
    rollout.assert_nothing_reaches(&rollout.new[..1], Duration::from_millis(300)).await;
    rollout.wait_for_state("completed").await;
    assert_eq!(rollout.cluster.store.rollout_status("desk").1, "v3");
    load.stop().await;
}

/// Guards against versions that are kept away in a deployment without rollouts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_is_ignored_without_bounds() {
    let mut cluster = Cluster::start_with(1, 1, ForwardParams::default()).await;
    let new = Replica::start("n0").await;
    new.set_software("v2", None);
    cluster.store.order_rollout("desk", "v2", 1.0);
    cluster.store.list_replica(&new, "desk", "ready");
    cluster
        .wait_until("the replica is known", async |c| !c.endpoint(0, "n0").await.is_null())
        .await;
    for _ in 0..20 {
        assert_eq!(cluster.status("safe").await, 200);
    }
    assert!(!new.seen().is_empty() && !cluster.desks[0].seen().is_empty());
    assert_eq!(cluster.store.rollout_status("desk").0, "", "nothing is written");
}

/// Guards against replicas that get nothing after a later release without an order, in which they
/// replace those of the version that was rolled out.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_release_after_a_rollout_needs_no_order() {
    let mut rollout = RolloutCluster::start(1, 1, 1, None).await;
    let load = Load::start(&rollout.cluster);
    rollout.order(3.0);
    rollout.wait_for_state("completed").await;
    rollout.cluster.store.unlist("d0");
    rollout.add_new("r0", "v3", None).await;
    rollout.new[1].set_born(2);
    rollout.list_new();
    let r0 = &rollout.new[1];
    rollout.cluster.wait_until("it gets requests", async |_| !r0.seen().is_empty()).await;
    rollout.cluster.store.unlist("n0");
    sleep(Duration::from_millis(300)).await;
    load.stop().await;
    let load = Load::start(&rollout.cluster);
    sleep(Duration::from_millis(300)).await;
    let outcomes = load.stop().await;
    assert_eq!(failures(&outcomes), []);
}

/// Guards against the rollouts of two services that influence each other.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_services_are_independent() {
    let fault = VersionFault::new(Behaviour::Fail, 1);
    let mut rollout = RolloutCluster::start(2, 2, 2, Some(fault)).await;
    let model = Replica::start("m-new").await;
    model.set_software("v2", None);
    rollout.cluster.store.list_replica(&model, "models", "ready");
    let load = Load::start(&rollout.cluster);
    rollout.order(6.0);
    rollout.cluster.store.order_rollout("models", "v2", 3.0);
    let deadline = Instant::now() + Duration::from_secs(8);
    while rollout.cluster.store.rollout_status("models").0 != "completed" {
        assert!(Instant::now() < deadline, "the rollout of the models does not end");
        let status = rollout.cluster.status("resumable").await;
        assert_eq!(status, 200);
    }
    rollout.wait_for_state("rolled_back").await;
    load.stop().await;
}

/// Guards against streams of a bad version that are joined with the rest from the old one, and against
/// callers that get less than the whole stream of the old one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_that_a_bad_version_breaks_are_not_joined_with_the_old_one() {
    let mut rollout = RolloutCluster::start(1, 1, 0, None).await;
    let fault = VersionFault::new(Behaviour::Broken(FIRST_EVENT), 1);
    rollout.add_new("m-new", "v2", Some(fault)).await;
    rollout.cluster.store.list_replica(&rollout.new[0], "models", "ready");
    rollout.cluster.store.order_rollout("models", "v2", 12.0);
    let deadline = Instant::now() + Duration::from_secs(12);
    let mut broken = 0;
    while rollout.cluster.store.rollout_status("models").0 != "rolled_back" {
        assert!(Instant::now() < deadline, "it is not rolled back");
        let (id, answer) = rollout.cluster.answer("resumable").await;
        let has_id = |req: &SeenRequest| req.headers["x-request-id"] == id;
        match answer {
            Some((status, body)) => {
                assert_eq!(status, 200);
                assert!(is_complete("resumable", &id, &body), "{body}");
                assert!(!rollout.seen_by_new().iter().any(has_id), "{id} ran at the bad version");
            }
            None => {
                broken += 1;
                assert_eq!(rollout.cluster.runs(&id), 0, "{id} ran at the old version");
            }
        }
    }
    let seen = rollout.seen_by_new();
    assert!(!seen.is_empty(), "the version was tried");
    assert_eq!(broken, seen.len(), "only streams of the bad version break");
    rollout.assert_nothing_reaches(&rollout.new, Duration::from_millis(200)).await;
}

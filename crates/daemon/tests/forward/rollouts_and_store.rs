//! Rollouts while the store is away, comes back from a copy or loses answers.

use super::{
    rollout_support::{Load, RolloutCluster, failures},
    support::Cluster,
};
use cassiagw_platform_standins::{Behaviour, Outage, VersionFault};
use std::time::Duration;
use tokio::time::sleep;

/// Guards against a phase that changes, or a rollout that is given up, since the store is away.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_phase_changes_while_the_store_is_away() {
    let rollout = RolloutCluster::start(2, 2, 2, None).await;
    let load = Load::start(&rollout.cluster);
    rollout.order(5.0);
    rollout.wait_for_phase("trial").await;
    rollout.cluster.store.set_outage(Outage::Refuse);
    sleep(Duration::from_secs(4)).await;
    assert_eq!(rollout.phase(), "trial");
    rollout.cluster.store.set_outage(Outage::None);
    rollout.wait_for_state("completed").await;
    assert_eq!(rollout.running_at_old(), 0);
    let outcomes = load.stop().await;
    assert_eq!(failures(&outcomes), []);
}

/// Guards against a bad version that gets requests for as long as the store is away.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_bad_version_is_rolled_back_while_the_store_is_away() {
    // It turns bad when both versions get requests by load.
    let fault = VersionFault::new(Behaviour::Fail, 1).with_after(200);
    let rollout = RolloutCluster::start(2, 2, 2, Some(fault)).await;
    let load = Load::start(&rollout.cluster);
    rollout.order(20.0);
    rollout.wait_for_phase("shift").await;
    rollout.cluster.store.set_outage(Outage::Refuse);
    for daemon in 0..2 {
        let is_rolled_back = async |cluster: &Cluster| {
            cluster.dump(daemon).await["rollouts"][0]["state"] == "rolled_back"
        };
        rollout.cluster.wait_until("a daemon holds it to be bad", is_rolled_back).await;
    }
    let bad = rollout.seen_by_new().len().saturating_sub(400);
    assert!(bad <= 50, "{bad} requests reached it after it had turned bad");
    rollout.assert_nothing_reaches(&rollout.new, Duration::from_millis(400)).await;
    assert_eq!(rollout.state(), "running");
    rollout.cluster.store.set_outage(Outage::None);
    rollout.wait_for_state("rolled_back").await;
    rollout.assert_nothing_reaches(&rollout.new, Duration::from_millis(300)).await;
    load.stop().await;
}

/// Guards against a store that came back from an older copy and takes a rollout back to an earlier
/// phase.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_older_copy_of_the_store_does_not_change_the_phase() {
    struct Case {
        fault: Option<VersionFault>,
        state: &'static str,
    }
    let cases = [
        Case { fault: None, state: "completed" },
        Case { fault: Some(VersionFault::new(Behaviour::Fail, 1)), state: "rolled_back" },
    ];
    for Case { fault, state } in cases {
        let rollout = RolloutCluster::start(2, 2, 2, fault).await;
        let load = Load::start(&rollout.cluster);
        rollout.order(5.0);
        rollout.wait_for_phase("trial").await;
        let copy = rollout.cluster.store.copy();
        rollout.wait_for_state(state).await;
        rollout.cluster.store.restore(copy);
        assert_eq!(rollout.state(), "running");
        rollout.wait_for_state(state).await;
        let closed = if state == "completed" { &rollout.cluster.desks } else { &rollout.new };
        rollout.assert_nothing_reaches(closed, Duration::from_millis(500)).await;
        load.stop().await;
    }
}

/// Guards against a rollout that stands still, or is decided twice, since answers of the store to
/// its writes are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_answers_do_not_stop_a_rollout() {
    let rollout = RolloutCluster::start(2, 2, 2, None).await;
    let load = Load::start(&rollout.cluster);
    rollout.cluster.store.lose_answers("cassiagw/rollout/", 2);
    rollout.order(6.0);
    rollout.wait_for_state("completed").await;
    assert_eq!(rollout.running_at_old(), 0);
    let outcomes = load.stop().await;
    assert_eq!(failures(&outcomes), []);
}

/// Guards against a bad version that is tried once more, since the store came back from a copy without
/// the order and the operator wrote it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_that_is_written_again_is_not_new() {
    let fault = VersionFault::new(Behaviour::Fail, 1);
    let rollout = RolloutCluster::start(2, 2, 2, Some(fault)).await;
    let load = Load::start(&rollout.cluster);
    rollout.list_new();
    let copy = rollout.cluster.store.copy();
    rollout.order(6.0);
    rollout.wait_for_state("rolled_back").await;
    rollout.cluster.store.restore(copy);
    sleep(Duration::from_millis(500)).await;
    rollout.cluster.store.order_rollout("desk", "v2", 6.0);
    rollout.wait_for_state("rolled_back").await;
    rollout.assert_nothing_reaches(&rollout.new, Duration::from_millis(1_500)).await;
    assert_eq!(rollout.state(), "rolled_back");
    load.stop().await;
}

/// Guards against a daemon that goes on to try a version while it cannot hear that the version is bad.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_daemon_without_contact_tries_no_version() {
    let rollout = RolloutCluster::start(1, 2, 2, None).await;
    let load = Load::start(&rollout.cluster);
    rollout.order(60.0);
    rollout.wait_for_phase("trial").await;
    let is_tried = async |_: &Cluster| rollout.seen_by_new().len() > 5;
    rollout.cluster.wait_until("the version is tried", is_tried).await;
    rollout.cluster.store.set_outage(Outage::Refuse);
    // The time without the store after which the view is not current, and a watch before it.
    sleep(Duration::from_millis(6_500)).await;
    let served = rollout.seen_by_old().len();
    rollout.assert_nothing_reaches(&rollout.new, Duration::from_millis(600)).await;
    assert!(rollout.seen_by_old().len() > served, "the old version is served");
    rollout.cluster.store.set_outage(Outage::None);
    let tried = rollout.seen_by_new().len();
    let is_tried = async |_: &Cluster| rollout.seen_by_new().len() > tried;
    rollout.cluster.wait_until("the trial goes on", is_tried).await;
    let outcomes = load.stop().await;
    assert_eq!(failures(&outcomes), []);
}

//! A store that is away for a moment and comes back from a copy some seconds old: what was in force
//! stays in force, and what is written afterwards takes effect.

use super::support::Cluster;
use cassiagw_platform_standins::{Outage, SettingsDocument, StoreCopy};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::sleep,
};

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(300);

fn moved_to(version: u64, prefix: &str) -> SettingsDocument {
    SettingsDocument::new(version).with_prefix("unsafe", prefix)
}

async fn lose_writes_since(cluster: &Cluster, copy: StoreCopy) {
    cluster.store.set_outage(Outage::Refuse);
    sleep(AWAY).await;
    cluster.store.restore(copy);
    cluster.store.set_outage(Outage::None);
}

/// Opens a path to a server that ends, with its connections, when the set is dropped.
async fn path_to(server: SocketAddr) -> (SocketAddr, JoinSet<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free loopback port");
    let address = listener.local_addr().expect("the listener is bound");
    let mut path = JoinSet::new();
    path.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((mut near, _)) = listener.accept().await {
            connections.spawn(async move {
                let Ok(mut far) = TcpStream::connect(server).await else { return };
                // Either side may close at any time.
                let _ = copy_bidirectional(&mut near, &mut far).await;
            });
        }
    });
    (address, path)
}

async fn wait_for_settings(cluster: &Cluster, daemon: usize, version: u64) {
    let what = format!("settings {version} are in force at daemon {daemon}");
    let holds = async |c: &Cluster| c.dump(daemon).await["settings_version"] == version;
    cluster.wait_until(&what, holds).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn settings_stay_in_force_and_newer_ones_apply_after_each_loss() {
    let mut cluster = Cluster::start(1, 1).await;
    let mut version = 1;
    for loss in 0..3 {
        let copy = cluster.store.copy();
        for step in 0..4 {
            version += 1;
            cluster.store.put_settings(&moved_to(version, &format!("/before-{loss}-{step}/")));
        }
        wait_for_settings(&cluster, 0, version).await;
        lose_writes_since(&cluster, copy).await;
        let kept = format!("before-{loss}-3");
        for _ in 0..20 {
            assert_eq!(cluster.status(&kept).await, 200, "loss {loss}");
            sleep(Duration::from_millis(20)).await;
        }
        version += 1;
        cluster.store.put_settings(&moved_to(version, &format!("/after-{loss}/")));
        wait_for_settings(&cluster, 0, version).await;
        assert_eq!(cluster.status(&format!("after-{loss}")).await, 200, "loss {loss}");
        assert_eq!(cluster.status(&kept).await, 404, "loss {loss}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_daemon_without_the_store_hears_of_the_loss_and_pulls_nobody_back() {
    let mut cluster = Cluster::start(1, 1).await;
    let seeds = [cluster.daemons[0].peer];
    let (address, path) = path_to(cluster.store.address).await;
    cluster.store_address = address;
    cluster.add_daemon(&seeds).await;
    let is_member = async |c: &Cluster| c.store.members() == 2;
    cluster.wait_until("both daemons are members", is_member).await;
    let copy = cluster.store.copy();
    for version in 2..6 {
        cluster.store.put_settings(&moved_to(version, "/before/"));
    }
    wait_for_settings(&cluster, 1, 5).await;
    drop(path);
    lose_writes_since(&cluster, copy).await;
    cluster.store.put_settings(&moved_to(6, "/after/"));
    wait_for_settings(&cluster, 0, 6).await;
    wait_for_settings(&cluster, 1, 6).await;
    cluster.store.put_settings(&moved_to(7, "/last/"));
    wait_for_settings(&cluster, 0, 7).await;
    wait_for_settings(&cluster, 1, 7).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replicas_that_left_before_the_loss_get_no_requests_after_it() {
    struct Case {
        name: &'static str,
        leave: fn(&Cluster),
    }
    let cases = [
        Case { name: "draining", leave: |c| c.store.list_replica(&c.desks[0], "desk", "draining") },
        Case { name: "removed", leave: |c| c.store.unlist("d0") },
    ];
    for Case { name, leave } in cases {
        let mut cluster = Cluster::start(1, 2).await;
        let copy = cluster.store.copy();
        leave(&cluster);
        let has_left = async |c: &Cluster| c.endpoint(0, "d0").await["phase"] != "Ready";
        cluster.wait_until("the replica has left", has_left).await;
        lose_writes_since(&cluster, copy).await;
        // Taken up after the copy, so the copy has been read.
        cluster.store.put_settings(&SettingsDocument::new(2));
        wait_for_settings(&cluster, 0, 2).await;
        let before = cluster.desks[0].seen().len();
        for _ in 0..40 {
            assert_eq!(cluster.status("safe").await, 200, "{name}");
        }
        assert_eq!(cluster.desks[0].seen().len(), before, "{name}");
        cluster.store.list_replica(&cluster.desks[0], "desk", "ready");
        while cluster.desks[0].seen().len() == before {
            assert_eq!(cluster.status("safe").await, 200, "{name}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fences_of_orders_rise_and_daemons_register_again_after_a_loss() {
    let mut cluster = Cluster::start(1, 1).await;
    let seeds = [cluster.daemons[0].peer];
    let copy = cluster.store.copy();
    cluster.add_daemon(&seeds).await;
    for version in 2..12 {
        cluster.store.put_settings(&SettingsDocument::new(version));
    }
    cluster.store.set_newest_weights(2);
    let ordered = async |c: &Cluster| c.models[0].version() == 2;
    cluster.wait_until("the engine has the weights", ordered).await;
    let first = highest_fence(&cluster);
    lose_writes_since(&cluster, copy).await;
    let is_member = async |c: &Cluster| c.store.members() == 2;
    cluster.wait_until("both daemons are members again", is_member).await;
    cluster.store.set_newest_weights(3);
    let ordered = async |c: &Cluster| c.models[0].version() == 3;
    cluster.wait_until("the engine has newer weights", ordered).await;
    assert!(highest_fence(&cluster) > first, "{} after {first}", highest_fence(&cluster));
    let fences = fences(&cluster);
    assert!(fences.is_sorted(), "{fences:?}");
}

fn fences(cluster: &Cluster) -> Vec<u64> {
    let orders = cluster.models[0].orders();
    orders.iter().filter_map(|order| order["fence_token"].as_u64()).collect()
}

fn highest_fence(cluster: &Cluster) -> u64 {
    fences(cluster).into_iter().max().unwrap_or_default()
}

//! Daemons that cannot reach the store get its changes from their peers.

use super::support::{Cluster, LOOPBACK};
use cassiagw_platform_standins::{Outage, SettingsDocument};
use serde_json::json;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_starts_from_peers_without_the_store() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.wait_until("the daemon is a member", async |c| c.store.members() == 1).await;
    cluster.store.set_outage_for(LOOPBACK, Outage::Refuse);
    let seed = cluster.daemons[0].peer;
    cluster.add_daemon(&[seed]).await;
    let req = cluster.request("unsafe");
    let answer = cluster.client.call(cluster.daemons[1].callers, req).await.expect("a response");
    assert_eq!(answer.status, 200);
    let dump = cluster.dump(1).await;
    assert_eq!((&dump["settings_version"], &dump["store_answers"]), (&json!(1), &json!(false)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_reach_all_daemons() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.add_daemon(&[]).await;
    cluster.wait_until("both daemons are members", async |c| c.store.members() == 2).await;
    cluster.store.set_outage(Outage::Silent);
    cluster.store.put_settings(&SettingsDocument::new(9));
    cluster.store.set_outage(Outage::None);
    let has_it = async |c: &Cluster, n: usize| c.dump(n).await["settings_version"] == 9;
    cluster
        .wait_until("both daemons have the new settings", async |c| {
            has_it(c, 0).await && has_it(c, 1).await
        })
        .await;
}

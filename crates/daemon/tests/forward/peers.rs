//! Daemons that cannot reach the store get its changes from their peers.

use super::support::{LOOPBACK, World};
use cassiagw_platform_standins::{Outage, SettingsDocument};
use serde_json::json;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_daemon_starts_from_its_peers_while_the_store_refuses_it() {
    let mut world = World::start(1, 1).await;
    world.until("it is a member", async |w| w.store.members() == 1).await;
    world.store.set_outage_for(LOOPBACK, Outage::Refuse);
    let seed = world.daemons[0].peer;
    world.add_daemon(&[seed]).await;
    let req = world.request("unsafe");
    let answer = world.client.call(world.daemons[1].callers, req).await.expect("an answer");
    assert_eq!(answer.status, 200);
    let dump = world.dump(1).await;
    assert_eq!((&dump["settings_version"], &dump["store_answers"]), (&json!(1), &json!(false)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn both_daemons_have_what_either_was_told() {
    let mut world = World::start(1, 1).await;
    world.add_daemon(&[]).await;
    world.until("both are members", async |w| w.store.members() == 2).await;
    world.store.set_outage(Outage::Silent);
    world.store.put_settings(&SettingsDocument::new(9));
    world.store.set_outage(Outage::None);
    let has_it = async |w: &World, n: usize| w.dump(n).await["settings_version"] == 9;
    world.until("both have it", async |w| has_it(w, 0).await && has_it(w, 1).await).await;
}

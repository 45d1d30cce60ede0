//! Changes of settings, endpoint states and zone evacuations while requests are sent.

use super::support::Cluster;
use cassiagw_platform_standins::{Behaviour, SettingsDocument};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn settings_apply_and_never_revert() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.store.put_settings(&SettingsDocument::new(5).with_prefix("unsafe", "/moved/"));
    while cluster.status("moved").await != 200 {}
    assert_eq!(cluster.status("unsafe").await, 404);
    cluster.store.put_settings(&SettingsDocument::new(3));
    cluster.store.put_unreadable_settings();
    cluster.store.compact();
    for _ in 0..20 {
        assert_eq!(cluster.status("moved").await, 200);
        assert_eq!(cluster.status("unsafe").await, 404);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_removed_key_is_refused() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.store.put_settings(&SettingsDocument::new(2).with_keys(&["key-3"]));
    while cluster.status("unsafe").await == 200 {}
    assert_eq!(cluster.status("unsafe").await, 401);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn departed_replicas_get_no_requests() {
    let mut cluster = Cluster::start(1, 2).await;
    struct Case {
        name: &'static str,
        leave: fn(&Cluster),
        back: fn(&Cluster),
    }
    let list = |cluster: &Cluster| cluster.list("ready");
    let cases = [
        Case {
            name: "draining",
            leave: |c| c.store.list_replica(&c.desks[0], "desk", "draining"),
            back: list,
        },
        Case { name: "removed", leave: |c| c.store.unlist("d0"), back: list },
        Case { name: "unreadable", leave: |c| c.store.list_unreadable("d0"), back: list },
        Case {
            name: "removed without history",
            leave: |c| {
                c.store.unlist("d0");
                c.store.compact();
            },
            back: list,
        },
    ];
    for case in cases {
        (case.leave)(&cluster);
        // The change takes effect after a while; 30 requests in a row that all go to the other
        // replica show that it has.
        let mut quiet = 0;
        while quiet < 30 {
            let before = cluster.desks[0].seen().len();
            assert_eq!(cluster.status("safe").await, 200, "{}", case.name);
            let after = cluster.desks[0].seen().len();
            quiet = if after == before { quiet + 1 } else { 0 };
        }
        (case.back)(&cluster);
        let before = cluster.desks[0].seen().len();
        while cluster.desks[0].seen().len() == before {
            assert_eq!(cluster.status("safe").await, 200, "{}", case.name);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn evacuated_zone_gets_no_requests() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.store.evacuate("z0");
    while cluster.status("unsafe").await == 200 {}
    let before = cluster.desks[0].seen().len();
    assert_eq!(cluster.status("unsafe").await, 503);
    assert_eq!(cluster.desks[0].seen().len(), before);
    cluster.store.end_evacuation("z0");
    while cluster.status("unsafe").await != 200 {}
}

/// Guards against taking the first answer of the store to a new process for the end of an outage, in
/// which entries that vanish may only have lapsed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_departure_right_after_a_start_is_in_force_at_once() {
    let mut cluster = Cluster::start(2, 1).await;
    cluster.add_daemon(&[]).await;
    let known = cluster.endpoint(1, "m1").await;
    assert_eq!(known["id"], "m1", "the new daemon has read the store");
    cluster.store.unlist("m1");
    // Other changes, such as the registration of the daemon, may come before the removal.
    let removed_at = cluster.store.revision();
    cluster
        .wait_until("the departure is known", async |c| {
            c.dump(1).await["view_revision"].as_u64() >= Some(removed_at)
        })
        .await;
    assert!(cluster.endpoint(1, "m1").await.is_null());
}

/// Guards against sending to an address again and again at which another process answers by now: each
/// request costs a repeat.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_address_at_which_another_process_answers_is_given_up() {
    let mut cluster = Cluster::start(2, 2).await;
    let misdirected = &cluster.desks[0];
    misdirected.plan(&[Behaviour::Misdirected; 40]);
    for _ in 0..30 {
        assert_eq!(cluster.status("safe").await, 200);
    }
    let tried = cluster.desks[0].seen().len();
    assert!((1..=5).contains(&tried), "{tried} of 30 requests were sent there first");
}

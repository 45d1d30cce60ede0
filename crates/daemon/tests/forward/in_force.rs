//! Changes of settings, endpoint states and zone evacuations while requests are sent.

use super::support::World;
use cassiagw_platform_standins::SettingsDocument;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn settings_come_into_force_and_never_go_back() {
    let mut world = World::start(1, 1).await;
    world.store.put_settings(&SettingsDocument::new(5).with_prefix("unsafe", "/moved/"));
    while world.status("moved").await != 200 {}
    assert_eq!(world.status("unsafe").await, 404);
    world.store.put_settings(&SettingsDocument::new(3));
    world.store.put_unreadable_settings();
    world.store.compact();
    for _ in 0..20 {
        assert_eq!(world.status("moved").await, 200);
        assert_eq!(world.status("unsafe").await, 404);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_removed_key_is_refused() {
    let mut world = World::start(1, 1).await;
    world.store.put_settings(&SettingsDocument::new(2).with_keys(&["key-3"]));
    while world.status("unsafe").await == 200 {}
    assert_eq!(world.status("unsafe").await, 401);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_replica_that_leaves_gets_nothing_more() {
    let mut world = World::start(1, 2).await;
    struct Case {
        name: &'static str,
        leave: fn(&World),
        back: fn(&World),
    }
    let list = |world: &World| world.list("ready");
    let cases = [
        Case {
            name: "draining",
            leave: |w| w.store.list_replica(&w.desks[0], "desk", "draining"),
            back: list,
        },
        Case { name: "removed", leave: |w| w.store.unlist("d0"), back: list },
        Case { name: "unreadable", leave: |w| w.store.list_unreadable("d0"), back: list },
        Case {
            name: "removed without history",
            leave: |w| {
                w.store.unlist("d0");
                w.store.compact();
            },
            back: list,
        },
    ];
    for case in cases {
        (case.leave)(&world);
        let mut quiet = 0;
        while quiet < 30 {
            let before = world.desks[0].seen().len();
            assert_eq!(world.status("safe").await, 200, "{}", case.name);
            let after = world.desks[0].seen().len();
            quiet = if after == before { quiet + 1 } else { 0 };
        }
        (case.back)(&world);
        let before = world.desks[0].seen().len();
        while world.desks[0].seen().len() == before {
            assert_eq!(world.status("safe").await, 200, "{}", case.name);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let mut world = World::start(1, 1).await;
    world.store.evacuate("z0");
    while world.status("unsafe").await == 200 {}
    let before = world.desks[0].seen().len();
    assert_eq!(world.status("unsafe").await, 503);
    assert_eq!(world.desks[0].seen().len(), before);
    world.store.end_evacuation("z0");
    while world.status("unsafe").await != 200 {}
}

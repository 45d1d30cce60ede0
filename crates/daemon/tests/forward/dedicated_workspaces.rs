//! Scopes of cached parts while workspaces become dedicated, and cease to be.

use super::support::Cluster;
use cassiagw_platform_standins::{Behaviour, SettingsDocument};
use hyper::header::{AUTHORIZATION, HeaderValue};

const KEYS: [(&str, &str); 3] = [("w1", "key-1"), ("w2", "key-2"), ("w3", "key-w3")];

/// Scope under which the last request that the engine got may reuse cached parts.
fn last_scope(cluster: &Cluster) -> String {
    let seen = cluster.models.iter().flat_map(|engine| engine.seen());
    let last = seen.max_by_key(|req| req.at).expect("a request");
    last.headers.get("x-cache-salt").expect("a scope").clone()
}

/// Sends a prompt of each workspace through a daemon and returns the scopes.
async fn scopes(cluster: &mut Cluster, daemon: usize) -> [String; 3] {
    let mut scopes = KEYS.map(|_| String::new());
    for ((_, key), scope) in KEYS.iter().zip(&mut scopes) {
        let value = HeaderValue::try_from(format!("Token {key}")).expect("text");
        let req = cluster.request("stream").with_header(AUTHORIZATION, value);
        let answer = cluster.client.call(cluster.daemons[daemon].callers, req).await;
        assert_eq!(answer.expect("an answer").status, 200);
        *scope = last_scope(cluster);
    }
    scopes
}

async fn set_dedicated(cluster: &Cluster, version: u64, names: &[&str]) {
    cluster.store.put_settings(&SettingsDocument::new(version).with_dedicated(names));
    wait_for_settings(cluster, version).await;
}

async fn wait_for_settings(cluster: &Cluster, version: u64) {
    let are_in_force = async |c: &Cluster| {
        let mut are_in_force = true;
        for daemon in 0..c.daemons.len() {
            are_in_force &= c.dump(daemon).await["settings_version"] == version;
        }
        are_in_force
    };
    cluster.wait_until("the settings are in force", are_in_force).await;
}

/// Guards against other workspaces using what a workspace left in the common scope before it became
/// dedicated. All daemons name the scopes alike, also one that starts later.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_workspace_that_becomes_dedicated_takes_its_cached_parts_out_of_use() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.add_daemon(&[]).await;
    let [w1, w2, w3] = scopes(&mut cluster, 0).await;
    assert_eq!(w1, w3, "they share");
    assert_ne!(w1, w2, "a dedicated workspace has a scope of its own");
    set_dedicated(&cluster, 2, &["w1", "w2"]).await;
    let after = scopes(&mut cluster, 0).await;
    assert!(!after.contains(&w1), "nobody uses what the workspace left: {after:?}");
    assert_eq!(after[1], w2, "a workspace that stays dedicated keeps its parts");
    assert!(after[0] != after[1] && after[1] != after[2] && after[0] != after[2], "{after:?}");
    cluster.add_daemon(&[]).await;
    for daemon in 1..3 {
        assert_eq!(scopes(&mut cluster, daemon).await, after, "daemon {daemon}");
    }
    set_dedicated(&cluster, 3, &["w2"]).await;
    let [shared, _, other] = scopes(&mut cluster, 0).await;
    assert_eq!(shared, other, "they share again");
    assert!(shared != after[0], "not what it made while it was dedicated");
}

/// Guards against a request that came before the change and is sent after it using the earlier
/// common scope, or the common one although its workspace was dedicated.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_is_sent_after_the_change_has_the_scope_of_that_time() {
    struct Case {
        name: &'static str,
        settings: SettingsDocument,
    }
    let new = || SettingsDocument::new(2);
    let cases = [
        Case { name: "it becomes dedicated", settings: new().with_dedicated(&["w1", "w2"]) },
        Case { name: "another one does", settings: new().with_dedicated(&["w2", "w3"]) },
    ];
    for Case { name, settings } in cases {
        let mut cluster = Cluster::start(2, 1).await;
        let shared = scopes(&mut cluster, 0).await[0].clone();
        cluster.models.iter().for_each(|engine| engine.plan(&[Behaviour::NoAnswer]));
        let before = cluster.models.iter().map(|engine| engine.seen().len()).sum::<usize>();
        let req = cluster.request("resumable");
        let (client, callers) = (cluster.client.clone(), cluster.daemons[0].callers);
        let running = tokio::spawn(async move { client.call(callers, req).await });
        let sent = |c: &Cluster| c.models.iter().map(|engine| engine.seen().len()).sum::<usize>();
        cluster.wait_until("it is sent", async |c| sent(c) > before).await;
        assert_eq!(last_scope(&cluster), shared, "{name}");
        cluster.store.put_settings(&settings);
        wait_for_settings(&cluster, 2).await;
        cluster.wait_until("it is sent again", async |c| sent(c) > before + 1).await;
        assert_ne!(last_scope(&cluster), shared, "{name}");
        running.abort();
    }
}

/// Guards against a request of a dedicated workspace that the settings no longer name using the
/// common scope.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_dedicated_workspace_that_is_removed_keeps_to_itself() {
    let mut cluster = Cluster::start(2, 1).await;
    cluster.models.iter().for_each(|engine| engine.plan(&[Behaviour::NoAnswer]));
    let value = HeaderValue::from_static("Token key-2");
    let req = cluster.request("resumable").with_header(AUTHORIZATION, value);
    let (client, callers) = (cluster.client.clone(), cluster.daemons[0].callers);
    let running = tokio::spawn(async move { client.call(callers, req).await });
    let sent = |c: &Cluster| c.models.iter().map(|engine| engine.seen().len()).sum::<usize>();
    cluster.wait_until("it is sent", async |c| sent(c) > 0).await;
    let own = last_scope(&cluster);
    cluster.store.put_settings(&SettingsDocument::new(2).without_workspace("w2"));
    wait_for_settings(&cluster, 2).await;
    cluster.wait_until("it is sent again", async |c| sent(c) > 1).await;
    assert_eq!(last_scope(&cluster), own);
    running.abort();
}

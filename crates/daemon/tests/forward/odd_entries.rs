//! Odd entries of other writers among those of the endpoints.

use super::support::Cluster;
use std::time::Duration;
use tokio::time::sleep;

/// An entry that names no endpoint to use, or one with a value that no clock can hold.
struct Case {
    what: &'static str,
    entry: fn(&str) -> String,
}

fn entry_with(address: &str, field: &str) -> String {
    format!(
        r#"{{"service":"desk","address":"{address}","zone":"z0","version":"v1","slots":8,"state":"ready","born":1,{field}}}"#
    )
}

const CASES: [Case; 9] = [
    Case {
        what: "nested deeply",
        entry: |a| entry_with(a, &format!("\"x\":{}", "[".repeat(90_000))),
    },
    Case {
        what: "nested deeply and closed",
        entry: |a| entry_with(a, &format!("\"x\":{}{}", "[".repeat(40_000), "]".repeat(40_000))),
    },
    Case { what: "cold for longer than time", entry: |a| entry_with(a, "\"cold_left_ms\":1e22") },
    Case { what: "cold for 1e300 ms", entry: |a| entry_with(a, "\"cold_left_ms\":1e300") },
    Case { what: "cold for less than nothing", entry: |a| entry_with(a, "\"cold_left_ms\":-5") },
    Case { what: "a number too large for any type", entry: |a| entry_with(a, "\"slots2\":1e999") },
    Case {
        what: "more slots than a number holds",
        entry: |a| entry_with(a, "\"slots\":99999999999"),
    },
    Case { what: "a port out of range", entry: |_| entry_with("127.0.0.1:70000", "\"x\":1") },
    Case { what: "no address", entry: |_| entry_with("", "\"x\":1") },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn odd_entries_do_not_keep_daemons_from_following_the_list() {
    let mut cluster = Cluster::start(1, 2).await;
    cluster.store.unlist("d1");
    for (number, Case { what, entry }) in CASES.into_iter().enumerate() {
        let odd = entry(&cluster.desks[1].address.to_string());
        cluster.store.put_bytes(&format!("servers/odd-{number}"), odd.as_bytes());
        sleep(Duration::from_millis(50)).await;
        cluster.store.list_replica(&cluster.desks[1], "desk", "ready");
        let is_known = async |c: &Cluster| !c.endpoint(0, "d1").await.is_null();
        cluster.wait_until(what, is_known).await;
        assert_eq!(cluster.status("safe").await, 200, "{what}");
        cluster.store.unlist("d1");
        let is_gone = async |c: &Cluster| c.endpoint(0, "d1").await.is_null();
        cluster.wait_until(what, is_gone).await;
    }
    cluster.daemons.clear();
    cluster.add_daemon(&[]).await;
    assert_eq!(cluster.status("safe").await, 200, "a daemon that starts among them serves");
}

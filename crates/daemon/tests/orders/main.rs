//! At-most-once requests, checked against the records of the services.

mod order_system;
mod processes;
mod session;
#[path = "../support/mod.rs"]
mod support;
mod sweep;
mod wire_proxy;

use cassiagw_core::claims::MAX_INLINE_BODY_BYTES;
use cassiagw_standins::server::Down;
use order_system::OrderSystem;
use serde_json::json;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_repeats_of_a_key_run_once_and_get_one_answer() {
    let orders = OrderSystem::start().await;
    let calls = (0..60).map(|number| {
        let orders = &orders;
        async move { orders.order(number % 2, Some(&format!("key-{}", number % 6))).await }
    });
    let answers = futures::future::join_all(calls).await;
    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.status, 200, "{number}: {answer:?}");
        assert_eq!(answer.document, answers[number % 6].document, "{number}");
    }
    (0..6).for_each(|key| assert_eq!(orders.runs(&format!("key-{key}")), 1, "key-{key}"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_key_is_bound_to_its_content_and_its_workspace() {
    let orders = OrderSystem::start().await;
    let (client, entry) = (&orders.system.client, orders.system.entries[0].http);
    let send = async |workspace: &str, aprons: u32| {
        let body = json!({"aprons": aprons});
        let path = "/v1/services/warehouse/orders";
        client.order(entry, workspace, path, Some("same"), &body).await
    };
    assert_eq!(send("chiclayo", 1).await.status, 200);
    let other = send("chiclayo", 2).await;
    assert_eq!((other.status, other.code()), (422, "key_conflict"));
    assert_eq!(send("hangang", 2).await.status, 200, "the same key in another workspace");
    assert_eq!(orders.runs("same"), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_graceful_shutdown_leaves_the_outcome_in_the_ledger() {
    let mut orders = OrderSystem::start().await;
    let first = orders.order(0, Some("last")).await;
    orders.system.entries[0].daemon.shut_down().await;
    for index in 0..orders.system.endpoints.len() {
        orders.restart_endpoint(index).await;
    }
    assert_eq!((first.status, &orders.order(1, Some("last")).await), (200, &first));
    assert_eq!(orders.runs("last"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_too_long_to_keep_is_reported_as_run() {
    let orders = OrderSystem::start().await;
    let (client, entry) = (&orders.system.client, orders.system.entries[0].http);
    let body = json!({"note": "x".repeat(MAX_INLINE_BODY_BYTES)});
    let send = async || {
        client.order(entry, "chiclayo", "/v1/services/warehouse/notes", Some("long"), &body).await
    };
    let first = send().await;
    assert_eq!(first.status, 200);
    let mut again = send().await;
    // The endpoint daemon has the complete answer until the outcome is in the ledger.
    while again == first {
        again = send().await;
    }
    assert_eq!((again.status, again.code()), (409, "answer_not_kept"));
    assert_eq!((again.not_run(), orders.runs("long")), (Some(false), 1));
}

struct BadKey {
    name: &'static str,
    key: &'static str,
    status: u16,
    code: &'static str,
    not_run: Option<bool>,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_key_that_cannot_be_kept_is_refused() {
    let orders = OrderSystem::start().await;
    // A version 7 UUID of March 2023, long past the retention of its claim.
    let old = "0186aaaa-0000-7000-8000-000000000000";
    let cases = [
        BadKey { name: "old date", key: old, status: 422, code: "key_expired", not_run: None },
        BadKey { name: "empty", key: "", status: 400, code: "invalid_field", not_run: Some(true) },
        BadKey {
            name: "blank",
            key: "a b",
            status: 400,
            code: "invalid_field",
            not_run: Some(true),
        },
    ];
    for case in cases {
        let answer = orders.order(0, Some(case.key)).await;
        assert_eq!((answer.status, answer.code()), (case.status, case.code), "{}", case.name);
        assert_eq!(answer.not_run(), case.not_run, "{}", case.name);
    }
    assert_eq!(orders.all_runs(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_outage_of_the_key_value_service_is_told_truly() {
    let orders = OrderSystem::start().await;
    let before = orders.order(0, Some("before")).await;
    for down in [Down::Refuse, Down::Unavailable, Down::Hang] {
        orders.system.kv.set_faults(|faults| faults.answers.down = down);
        for entry in [0, 1] {
            let fresh = orders.order(entry, Some(&format!("fresh-{down:?}-{entry}"))).await;
            assert_eq!((fresh.status, fresh.code()), (503, "unavailable"), "{down:?}");
            assert_eq!(fresh.not_run(), Some(true), "{down:?} {entry}");
            assert_eq!(orders.order(entry, Some("before")).await, before, "{down:?} {entry}");
        }
        orders.system.kv.set_faults(|faults| faults.answers.down = Down::No);
        orders.wait_until_claims_are_complete().await;
    }
    assert_eq!(orders.all_runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_successor_that_has_not_read_the_claims_does_not_say_not_run() {
    let mut orders = OrderSystem::start().await;
    for key in 0..16 {
        assert_eq!(orders.order(0, Some(&format!("key-{key}"))).await.status, 200);
    }
    orders.system.kv.set_faults(|faults| faults.answers.down = Down::Refuse);
    orders.system.entries[0].daemon.kill();
    for key in 0..16 {
        let answer = orders.order(1, Some(&format!("key-{key}"))).await;
        assert_ne!(answer.not_run(), Some(true), "key-{key}: {answer:?}");
    }
    assert_eq!(orders.all_runs(), 16);
}

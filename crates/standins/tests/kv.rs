//! Tests of the key-value service's API semantics and faults.

mod common;

use cassiagw_standins::{
    kv::{Config, spawn},
    server::Down,
};
use cassiagw_surfaces::http::{HttpClient, HttpError, HttpRequest};
use common::{encode_base64, post};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(20);

struct Case {
    name: &'static str,
    calls: Vec<Call>,
}

/// Path below `/v3/`, request, expected status and expected part of the response.
struct Call(&'static str, Value, u16, Value);

fn put(key: &str, value: &str) -> Call {
    Call("kv/put", json!({"key": key, "value": value}), 200, json!({}))
}

fn compare_and_swap(compare: Value, value: &str, succeeded: Value) -> Call {
    let txn = json!({
        "compare": [compare],
        "success": [{"request_put": {"key": "@k", "value": value}}],
        "failure": [{"request_range": {"key": "@k"}}],
    });
    Call("kv/txn", txn, 200, json!({"succeeded": succeeded}))
}

fn compare(target: &str, result: &str, member: &str, operand: &str) -> Value {
    json!({"key": "@k", "target": target, "result": result, member: operand})
}

fn cases() -> Vec<Case> {
    let range = |key: &str, end: &str| json!({"key": key, "range_end": end});
    vec![
        Case {
            name: "versions and revisions",
            calls: vec![
                put("@k", "@1"),
                put("@k", "@2"),
                Call(
                    "kv/range",
                    range("@k", ""),
                    200,
                    json!({"count": "1", "kvs": [{
                    "key": "@k", "value": "@2", "create_revision": "2", "mod_revision": "3",
                    "version": "2"}], "header": {"revision": "3"}}),
                ),
                Call(
                    "kv/range",
                    json!({"key": "@k", "revision": 2}),
                    200,
                    json!({"kvs": [{"value": "@1", "version": "1"}]}),
                ),
                Call("kv/range", json!({"key": "@k", "revision": "9"}), 400, json!({"code": 11})),
            ],
        },
        Case {
            name: "ranges, limits and deletes",
            calls: vec![
                put("@a1", "@x"),
                put("@a2", "@y"),
                put("@b", "@z"),
                Call(
                    "kv/range",
                    json!({"key": "@a", "range_end": "@b", "limit": "1"}),
                    200,
                    json!({"count": "2", "more": true, "kvs": [{"key": "@a1"}]}),
                ),
                Call("kv/range", range("@\0", "@\0"), 200, json!({"count": "3"})),
                Call("kv/deleterange", range("@a", "@b"), 200, json!({"deleted": "2"})),
                Call(
                    "kv/deleterange",
                    range("@a", "@b"),
                    200,
                    json!({"deleted": null, "header": {"revision": "5"}}),
                ),
                Call(
                    "kv/range",
                    json!({"key": "@a", "range_end": "@b", "revision": "4"}),
                    200,
                    json!({"count": "2", "kvs": [{"value": "@x"}, {"value": "@y"}]}),
                ),
            ],
        },
        Case {
            name: "compare and swap",
            calls: vec![
                compare_and_swap(
                    compare("CREATE", "EQUAL", "create_revision", "0"),
                    "@1",
                    json!(true),
                ),
                compare_and_swap(
                    compare("CREATE", "EQUAL", "create_revision", "0"),
                    "@2",
                    Value::Null,
                ),
                compare_and_swap(compare("MOD", "EQUAL", "mod_revision", "2"), "@2", json!(true)),
                compare_and_swap(
                    compare("MOD", "NOT_EQUAL", "mod_revision", "3"),
                    "@3",
                    Value::Null,
                ),
                compare_and_swap(compare("MOD", "LESS", "mod_revision", "4"), "@3", json!(true)),
                compare_and_swap(compare("VERSION", "GREATER", "version", "2"), "@4", json!(true)),
                compare_and_swap(compare("VALUE", "EQUAL", "value", "@4"), "@5", json!(true)),
                compare_and_swap(compare("VALUE", "LESS", "value", "@5"), "@6", Value::Null),
            ],
        },
        Case {
            name: "value comparison with an absent key is false",
            calls: vec![compare_and_swap(
                compare("VALUE", "NOT_EQUAL", "value", "@1"),
                "@1",
                Value::Null,
            )],
        },
        Case {
            name: "a transaction is applied in one revision or not at all",
            calls: vec![
                Call(
                    "kv/txn",
                    json!({"success": [
                    {"request_put": {"key": "@a", "value": "@1"}},
                    {"request_put": {"key": "@b", "value": "@2"}},
                    {"request_range": {"key": "@a"}}]}),
                    200,
                    json!({"succeeded": true, "header": {"revision": "2"}, "responses": [
                        {"response_put": {"header": {"revision": "2"}}}, {"response_put": {}},
                        {"response_range": {"kvs": [{"value": "@1"}]}}]}),
                ),
                Call(
                    "kv/txn",
                    json!({"success": [
                    {"request_put": {"key": "@a", "value": "@3"}},
                    {"request_put": {"key": "@a", "value": "@4"}}]}),
                    400,
                    json!({"code": 3}),
                ),
                Call(
                    "kv/txn",
                    json!({"success": [
                    {"request_put": {"key": "@a", "value": "@3"}},
                    {"request_put": {"key": "@b", "lease": "77"}}]}),
                    404,
                    json!({"code": 5}),
                ),
                Call(
                    "kv/range",
                    json!({"key": "@a"}),
                    200,
                    json!({"header": {"revision": "2"}, "kvs": [{"value": "@1"}]}),
                ),
            ],
        },
        Case {
            name: "lease calls and attached keys",
            calls: vec![
                Call(
                    "lease/grant",
                    json!({"TTL": "60", "ID": "7"}),
                    200,
                    json!({"ID": "7", "TTL": "60"}),
                ),
                Call("lease/grant", json!({"TTL": 60, "ID": 7}), 400, json!({"code": 9})),
                Call("lease/grant", json!({"TTL": "0"}), 400, json!({"code": 3})),
                Call("kv/put", json!({"key": "@k", "value": "@v", "lease": "7"}), 200, json!({})),
                put("@free", "@v"),
                Call(
                    "lease/keepalive",
                    json!({"ID": "7"}),
                    200,
                    json!({"result": {"ID": "7", "TTL": "60"}}),
                ),
                Call(
                    "lease/timetolive",
                    json!({"ID": "7", "keys": true}),
                    200,
                    json!({"grantedTTL": "60", "keys": ["@k"]}),
                ),
                Call("lease/revoke", json!({"ID": "7"}), 200, json!({})),
                Call("lease/revoke", json!({"ID": "7"}), 404, json!({"code": 5})),
                Call(
                    "lease/keepalive",
                    json!({"ID": "7"}),
                    200,
                    json!({"result": {"ID": "7", "TTL": null}}),
                ),
                Call("kv/range", range("@\0", "@\0"), 200, json!({"kvs": [{"key": "@free"}]})),
            ],
        },
        Case {
            name: "invalid requests",
            calls: vec![
                Call("kv/put", json!({"value": "@v"}), 400, json!({"code": 3})),
                Call("kv/put", json!({"key": "not base64!"}), 400, json!({"code": 3})),
                Call(
                    "kv/put",
                    json!({"key": "@k", "value": format!("@{}", "x".repeat(2_000_000))}),
                    400,
                    json!({"message": "etcdserver: request is too large"}),
                ),
                Call("kv/nothing", json!({}), 404, json!({"code": 5})),
            ],
        },
    ]
}

#[tokio::test]
async fn calls_have_the_gateway_semantics() {
    for Case { name, calls } in cases() {
        let kv = spawn(Config::default()).await;
        for (at, Call(path, req, status, expected)) in calls.into_iter().enumerate() {
            let answer = post(kv.address, &format!("/v3/{path}"), req).await;
            let document: Value = answer.json().expect("response is JSON");
            assert_eq!(answer.status.as_u16(), status, "{name}, call {at}: {document}");
            let expected = encode_base64(expected);
            assert!(
                contains(&document, &expected),
                "{name}, call {at}: {document} lacks {expected}"
            );
        }
    }
}

struct Watch {
    body: Incoming,
    read: Vec<u8>,
}

impl Watch {
    async fn open(kv: &cassiagw_standins::kv::Handle, create: Value) -> Self {
        let req =
            HttpRequest::new_json("/v3/watch", &encode_base64(json!({"create_request": create})));
        let response =
            HttpClient::default().open(kv.address, req).await.expect("watch can be opened");
        Self { body: response.into_body(), read: Vec::new() }
    }

    async fn next(&mut self) -> Option<Value> {
        loop {
            if let Some(end) = self.read.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.read.drain(..=end).collect();
                return Some(serde_json::from_slice(&line).expect("watch lines are JSON"));
            }
            let frame = timeout(TIMEOUT, self.body.frame())
                .await
                .expect("watch sends data before the timeout");
            self.read.extend(frame?.ok()?.into_data().expect("watch responses have no trailers"));
        }
    }

    async fn expect(&mut self, expected: Value) {
        let expected = encode_base64(json!({"result": expected}));
        let actual = self.next().await.unwrap_or_default();
        assert!(contains(&actual, &expected), "{actual} lacks {expected}");
    }
}

#[tokio::test]
async fn watch_sends_events_from_its_start_revision() {
    let kv = spawn(Config { progress_ms: 20, ..Config::default() }).await;
    post(kv.address, "/v3/kv/put", json!({"key": "@a/1", "value": "@x"})).await;
    post(kv.address, "/v3/kv/put", json!({"key": "@z", "value": "@x"})).await;
    let range = json!({"key": "@a/", "range_end": "@a0", "start_revision": "2",
        "progress_notify": true});
    let mut watch = Watch::open(&kv, range).await;
    watch.expect(json!({"created": true, "events": null})).await;
    watch.expect(json!({"events": [{"type": null, "kv": {"key": "@a/1"}}]})).await;
    watch.expect(json!({"events": null, "header": {"revision": "3"}})).await;
    post(kv.address, "/v3/kv/deleterange", json!({"key": "@a/1"})).await;
    while let Some(answer) = watch.next().await {
        let events = &answer["result"]["events"];
        if !events.is_null() {
            assert_eq!(events[0]["type"], "DELETE");
            break;
        }
    }
    kv.set_faults(|faults| faults.answers.down = Down::Unavailable);
    while watch.next().await.is_some() {}
    assert_eq!(kv.records().open_watches, 0);
}

#[tokio::test]
async fn watch_from_a_compacted_revision_is_canceled() {
    let kv = spawn(Config { history_revisions: 2, ..Config::default() }).await;
    for value in ["@1", "@2", "@3", "@4"] {
        post(kv.address, "/v3/kv/put", json!({"key": "@k", "value": value})).await;
    }
    let mut watch = Watch::open(&kv, json!({"key": "@k", "start_revision": "2"})).await;
    watch.expect(json!({"created": true})).await;
    watch.expect(json!({"canceled": true, "compact_revision": "4"})).await;
    assert!(watch.next().await.is_none());
    let mut watch = Watch::open(&kv, json!({"key": "@k", "start_revision": "4"})).await;
    watch.expect(json!({"created": true})).await;
    watch.expect(json!({"events": [{"kv": {"value": "@3"}}, {"kv": {"value": "@4"}}]})).await;
    let old = post(kv.address, "/v3/kv/range", json!({"key": "@k", "revision": "3"})).await;
    assert_eq!(old.status.as_u16(), 400);
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let kv = spawn(Config::default()).await;
    post(kv.address, "/v3/lease/grant", json!({"TTL": "1", "ID": "9"})).await;
    let req = json!({"key": "@k", "value": "@v", "lease": "9"});
    post(kv.address, "/v3/kv/put", req).await;
    let mut watch = Watch::open(&kv, json!({"key": "@k", "start_revision": "2"})).await;
    watch.expect(json!({"created": true})).await;
    watch.expect(json!({"events": [{"kv": {"lease": "9"}}]})).await;
    watch.expect(json!({"events": [{"type": "DELETE", "kv": {"key": "@k"}}]})).await;
}

#[tokio::test]
async fn write_takes_effect_when_its_response_is_lost() {
    let kv = spawn(Config::default()).await;
    kv.set_faults(|faults| faults.answers.lose_next_answers = 1);
    let req =
        HttpRequest::new_json("/v3/kv/put", &encode_base64(json!({"key": "@k", "value": "@v"})));
    let lost = HttpClient::default().call(kv.address, req).await;
    assert!(matches!(lost, Err(HttpError::Unknown { .. })), "{lost:?}");
    let answer = post(kv.address, "/v3/kv/range", json!({"key": "@k"})).await;
    assert_eq!(answer.json::<Value>().expect("response is JSON")["count"], "1");
}

#[tokio::test]
async fn refused_connection_is_reported_as_not_sent_until_the_port_reopens() {
    let kv = spawn(Config::default()).await;
    let client = HttpClient::default();
    let read = || HttpRequest::new_json("/v3/kv/range", &encode_base64(json!({"key": "@k"})));
    assert!(client.call(kv.address, read()).await.is_ok());
    kv.set_faults(|faults| faults.answers.down = Down::Refuse);
    poll_until(async || client.call(kv.address, read()).await.is_err_and(|e| e.is_not_sent()))
        .await;
    kv.set_faults(|faults| faults.answers.down = Down::No);
    poll_until(async || client.call(kv.address, read()).await.is_ok()).await;
}

#[tokio::test]
async fn calls_over_the_rate_are_refused_and_counted() {
    let kv = spawn(Config::default()).await;
    let faults = json!({"writes_per_s": 0.001, "reads_per_s": 0, "rate_wait_ms": 0});
    assert!(post(kv.address, "/admin/faults", faults).await.status.is_success());
    let unknown = post(kv.address, "/admin/faults", json!({"slow": 1})).await;
    assert_eq!(unknown.status.as_u16(), 400);
    let put = || post(kv.address, "/v3/kv/put", json!({"key": "@k", "value": "@v"}));
    assert_eq!(put().await.status.as_u16(), 200);
    assert_eq!(put().await.status.as_u16(), 429);
    let read = post(kv.address, "/v3/kv/range", json!({"key": "@k"})).await;
    assert_eq!(read.status.as_u16(), 429);
    let records = kv.records();
    assert_eq!((records.writes, records.refused), (1, 2));
}

async fn poll_until(mut reached: impl AsyncFnMut() -> bool) {
    let polling = async {
        while !reached().await {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, polling).await.expect("condition is met before the timeout");
}

/// Returns whether `actual` has every member of `expected`; null matches an absent member.
fn contains(actual: &Value, expected: &Value) -> bool {
    match (actual, expected) {
        (Value::Object(actual), Value::Object(expected)) => expected
            .iter()
            .all(|(name, value)| contains(actual.get(name).unwrap_or(&Value::Null), value)),
        (Value::Array(actual), Value::Array(expected)) => {
            actual.len() == expected.len()
                && actual.iter().zip(expected).all(|(a, e)| contains(a, e))
        }
        _ => actual == expected,
    }
}

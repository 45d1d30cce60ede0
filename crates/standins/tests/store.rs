//! Tests of the store host stand-in: tiers, link bandwidth and damaged reads.

use bytes::Bytes;
use cassiagw_standins::store::{Config, Faults, Handle, spawn};
use cassiagw_surfaces::http::{HttpClient, HttpError, HttpRequest};
use hyper::Method;
use serde_json::Value;

async fn call(
    store: &Handle,
    method: Method,
    path: &str,
    body: &[u8],
) -> Result<(u16, Bytes), HttpError> {
    let req = HttpRequest::new(method, path).with_body(body.to_vec());
    let answer = HttpClient::default().call(store.address, req).await?;
    Ok((answer.status.as_u16(), answer.body))
}

struct Step(Method, &'static str, &'static [u8], u16, &'static [u8]);

#[tokio::test]
async fn tiers_enforce_their_capacity() {
    let steps = [
        Step(Method::GET, "/objects/a", b"", 404, b""),
        Step(Method::PUT, "/objects/a?tier=memory", b"12345678", 201, b""),
        Step(Method::GET, "/objects/a", b"", 200, b"12345678"),
        Step(Method::PUT, "/objects/b?tier=memory", b"123", 507, b""),
        Step(Method::PUT, "/objects/a?tier=memory", b"0123456789", 201, b""),
        Step(Method::PUT, "/objects/b?tier=disk", b"123", 201, b""),
        Step(Method::POST, "/objects/b/move?tier=memory", b"", 507, b""),
        Step(Method::POST, "/objects/a/move?tier=disk", b"", 204, b""),
        Step(Method::POST, "/objects/b/move?tier=memory", b"", 204, b""),
        Step(Method::HEAD, "/objects/b", b"", 200, b""),
        Step(Method::DELETE, "/objects/a", b"", 204, b""),
        Step(Method::DELETE, "/objects/a", b"", 404, b""),
        Step(Method::PUT, "/objects/c?tier=tape", b"1", 400, b""),
    ];
    let store = spawn(Config { memory_bytes: 10, disk_bytes: 20, ..Config::default() }).await;
    for (number, Step(method, path, sent, status, body)) in steps.into_iter().enumerate() {
        let answer = call(&store, method, path, sent).await.expect("request succeeds");
        assert_eq!(answer.0, status, "step {number}: {path}");
        assert!(body.is_empty() || answer.1 == body, "step {number}: {path}");
    }
    let (_, usage) = call(&store, Method::GET, "/usage", b"").await.expect("request succeeds");
    let usage: Value = serde_json::from_slice(&usage).expect("response is JSON");
    assert_eq!((&usage["memory"]["used"], &usage["disk"]["used"]), (&3.into(), &0.into()));
    let (_, list) = call(&store, Method::GET, "/objects?prefix=b&limit=5&seed=1", b"")
        .await
        .expect("request succeeds");
    let list: Value = serde_json::from_slice(&list).expect("response is JSON");
    assert_eq!(list["objects"][0]["name"], "b");
    assert_eq!(list["objects"][0]["tier"], "memory");
}

struct DamageCase {
    name: &'static str,
    faults: Faults,
    /// Expected status and body; `None` if the connection is closed early.
    answer: Option<(u16, &'static [u8])>,
}

#[tokio::test]
async fn faults_damage_reads() {
    let faults = Faults::default;
    let cases = [
        DamageCase { name: "none", faults: faults(), answer: Some((200, b"new!")) },
        DamageCase {
            name: "truncated",
            faults: Faults { truncate_permille: 1_000, ..faults() },
            answer: Some((200, b"ne")),
        },
        DamageCase {
            name: "flipped",
            faults: Faults { flip_permille: 1_000, ..faults() },
            answer: Some((200, b"nev!")),
        },
        DamageCase {
            name: "swapped",
            faults: Faults { swap_permille: 1_000, ..faults() },
            answer: Some((200, b"other")),
        },
        DamageCase {
            name: "stale",
            faults: Faults { stale_permille: 1_000, ..faults() },
            answer: Some((200, b"old")),
        },
        DamageCase {
            name: "cut",
            faults: Faults { cut_permille: 1_000, ..faults() },
            answer: None,
        },
        DamageCase {
            name: "lost",
            faults: Faults { lose_all: true, ..faults() },
            answer: Some((404, b"")),
        },
    ];
    for DamageCase { name, faults, answer } in cases {
        let store = spawn(Config::default()).await;
        for (path, body) in [("a", "old"), ("a", "new!"), ("b", "other")] {
            let path = format!("/objects/{path}?tier=disk");
            call(&store, Method::PUT, &path, body.as_bytes()).await.expect("write succeeds");
        }
        store.set_faults(|now| *now = faults);
        let read = call(&store, Method::GET, "/objects/a", b"").await;
        match answer {
            None => assert!(matches!(read, Err(HttpError::Unknown { .. })), "{name}: {read:?}"),
            Some((status, body)) => {
                let read = read.expect("request succeeds");
                assert_eq!(read.0, status, "{name}");
                assert!(status != 200 || read.1 == body, "{name}: {read:?}");
            }
        }
    }
}

/// Concurrent transfers share the link: its busy time is the sum of both transfer times.
#[tokio::test]
async fn link_is_shared_by_all_transfers() {
    let store = spawn(Config::default()).await;
    let body = vec![7; 100 * 1024];
    call(&store, Method::PUT, "/objects/a", &body).await.expect("write succeeds");
    store.set_faults(|faults| faults.link_bytes_per_s = Some(1024 * 1024));
    let (one, two) = tokio::join!(
        call(&store, Method::GET, "/objects/a", b""),
        call(&store, Method::PUT, "/objects/b", &body),
    );
    assert_eq!((one.expect("read succeeds").0, two.expect("write succeeds").0), (200, 201));
    let records = store.records();
    assert_eq!((records.bytes_in, records.bytes_out), (200 * 1024, 100 * 1024));
    // 200 KiB at 1 MiB/s take 195 ms.
    assert!((190..=200).contains(&records.link_busy_ms), "{}", records.link_busy_ms);
}

#[tokio::test]
async fn full_store_rejects_writes() {
    let store = spawn(Config::default()).await;
    store.set_faults(|faults| faults.full = true);
    let answer = call(&store, Method::PUT, "/objects/a", b"1").await.expect("request succeeds");
    assert_eq!(answer.0, 507);
    assert_eq!(store.records().refused_full, 1);
}

//! Tests of the plain service's records and faults.

use cassiagw_standins::{
    server::Down,
    service::{Config, Faults, Handle, spawn},
};
use cassiagw_surfaces::{
    http::{HttpClient, HttpError},
    service::{ServiceCall, ServiceClient},
};
use serde_json::{Value, json};
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

async fn order(service: &Handle, key: &str, attempt: &str) -> Result<(u16, Value), HttpError> {
    let call = ServiceCall {
        method: "POST".into(),
        path: "/orders?crew=7".into(),
        content_type: Some("application/json".into()),
        body: br#"{"aprons":3}"#.to_vec(),
        idempotency_key: Some(key.into()),
        attempt: attempt.into(),
    };
    let client = ServiceClient::new(HttpClient::default(), service.address);
    let answer = client.call(call, CALL_TIMEOUT).await?;
    let body = answer.json().unwrap_or_default();
    Ok((answer.status.as_u16(), body))
}

struct Case {
    name: &'static str,
    faults: fn(&mut Faults),
    answer: fn(&Result<(u16, Value), HttpError>) -> bool,
    executions: usize,
}

#[tokio::test]
async fn executions_are_recorded_whatever_the_caller_received() {
    let cases = [
        Case {
            name: "executed, response received",
            faults: |_| {},
            answer: |a| a == &Ok((200, json!({"order": 1, "echo": "{\"aprons\":3}"}))),
            executions: 1,
        },
        Case {
            name: "executed, response lost",
            faults: |f| f.answers.lose_next_answers = 1,
            answer: |a| matches!(a, Err(HttpError::Unknown { .. })),
            executions: 1,
        },
        Case {
            name: "failed before execution",
            faults: |f| f.answers.fail_next = 1,
            answer: |a| matches!(a, Ok((503, _))),
            executions: 0,
        },
        Case {
            name: "connection refused",
            faults: |f| f.answers.down = Down::Refuse,
            answer: |a| matches!(a, Err(HttpError::NotSent { .. } | HttpError::Unknown { .. })),
            executions: 0,
        },
    ];
    for Case { name, faults, answer, executions } in cases {
        let service = spawn(Config::default()).await;
        service.set_faults(faults);
        let seen = order(&service, "k", "a1").await;
        assert!(answer(&seen), "{name}: {seen:?}");
        assert_eq!(service.records().executions.len(), executions, "{name}");
    }
}

#[tokio::test]
async fn repeated_keys_and_attempts_are_counted() {
    let service = spawn(Config::default()).await;
    for (key, attempt) in [("k1", "a1"), ("k1", "a2"), ("k2", "a2")] {
        order(&service, key, attempt).await.expect("the service responds");
    }
    let records = service.records();
    assert_eq!((records.duplicated, records.repeated_attempts), (1, 1));
    let first = &records.executions[0];
    assert_eq!((&first.method[..], &first.path[..]), ("POST", "/orders?crew=7"));
    assert_eq!(first.body_hash, blake3::hash(br#"{"aprons":3}"#).to_hex().to_string());
}

#[tokio::test]
async fn execution_continues_after_the_caller_disconnects() {
    let service = spawn(Config::default()).await;
    service.set_faults(|faults| faults.latency_ms = 60_000);
    let has_arrived = async {
        while service.records().executions.is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        answer = order(&service, "k", "a") => panic!("unexpected response: {answer:?}"),
        () = has_arrived => {}
    }
    assert_eq!(service.records().executions.len(), 1);
}

//! Claims in the key-value service: concurrent writers, lost responses, snapshots and new owners.

use cassiagw_core::{
    claims::{
        Answer, Attempt, AttemptSeries, Body, ClaimKey, ClaimRecord, CommitLimits, Fingerprint,
        KeyStatus, Outcome,
    },
    ids::{AttemptId, FastMap},
    ledger::LedgerKeys,
};
use cassiagw_rpc::PeerInfo;
use cassiagw_standins::kv;
use cassiagw_surfaces::kv::{KvClient, LedgerClient};
use cassiagwd::{
    claims::{Claims, ClaimsConfig},
    control::{self, ControlConfig},
};
use futures::future::join_all;
use std::time::Duration;
use tokio::time::sleep;

/// Shard of every key that the tests use.
const SHARD: u32 = 3;
/// Size of each stored answer, large enough for the ledger to reach the size of a snapshot.
const ANSWER_BYTES: usize = 2_000;

/// Starts the claims of a daemon that is not an entry. With no entry there are no shard owners, so
/// it appends by itself.
async fn claims(kv: &kv::Handle, name: &str) -> Claims {
    let local_peer = PeerInfo {
        daemon: name.into(),
        boot: 1,
        zone: "z".into(),
        address: ([127, 0, 0, 1], 1).into(),
        is_entry: false,
    };
    let control = control::spawn(&ControlConfig::new(local_peer, vec![kv.address])).await;
    let commit = CommitLimits {
        interval: Duration::from_millis(2),
        settle_delay: Duration::from_millis(2),
        ..CommitLimits::default()
    };
    let cfg = ClaimsConfig { commit, ..ClaimsConfig::new(name.into(), vec![kv.address]) };
    Claims::spawn(&cfg, &control)
}

fn keys(count: usize) -> Vec<ClaimKey> {
    let keys = (0..).map(|number| ClaimKey::new("w", format!("order-{number}")));
    keys.filter(|key| key.shard() == SHARD).take(count).collect()
}

fn fingerprint() -> Fingerprint {
    Fingerprint::of([b"aprons".as_slice()])
}

fn claim(key: &ClaimKey, id: AttemptId, kept_until_ms: u64) -> ClaimRecord {
    let attempt = Attempt { id, endpoint: "e".into(), boot: 1, claimant: "c".into() };
    ClaimRecord::Claim { key: key.clone(), fingerprint: fingerprint(), attempt, kept_until_ms }
}

fn outcome() -> Outcome {
    let body = Body::from_bytes(vec![b'x'; ANSWER_BYTES]);
    Outcome::Answered(Answer { status: 200, content_type: None, body })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_writers_and_lost_answers_leave_one_attempt_for_each_key() {
    let kv = kv::spawn(kv::Config::default()).await;
    let writers = [claims(&kv, "a").await, claims(&kv, "b").await, claims(&kv, "c").await];
    kv.set_faults(|faults| {
        faults.answers.lose_answers_permille = 150;
        faults.answers.fail_before_permille = 100;
    });
    let keys = keys(60);
    let submits = writers.iter().enumerate().flat_map(|(writer, claims)| {
        let mut series = AttemptSeries::new(1, writer as u64);
        keys.iter()
            .map(|key| {
                let (key, id) = (key.clone(), series.next_id());
                async move {
                    let record = claim(&key, id, u64::MAX);
                    (claims.submit(&key, fingerprint(), Some(record)).await, id, key)
                }
            })
            .collect::<Vec<_>>()
    });
    let results = join_all(submits).await;
    let mut winners = FastMap::default();
    for (result, id, key) in results {
        match result {
            Ok(KeyStatus::Pending(attempt)) => {
                let winner = *winners.entry(key.clone()).or_insert(attempt.id);
                assert_eq!(
                    winner, attempt.id,
                    "{key:?}: claimed by two attempts, reported to {id}"
                );
            }
            Ok(other) => panic!("{key:?}: unexpected status {other:?}"),
            Err(_) => {}
        }
    }
    assert!(winners.len() > keys.len() / 2, "too few keys were claimed: {}", winners.len());
    kv.set_faults(|faults| faults.answers = Default::default());
    let successor = claims(&kv, "d").await;
    for (key, id) in winners {
        let status = successor
            .submit(&key, fingerprint(), None)
            .await
            .expect("the key-value service is available");
        assert!(matches!(status, KeyStatus::Pending(attempt) if attempt.id == id), "{key:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_successor_reads_outcomes_from_a_snapshot_without_the_expired_ones() {
    let kv = kv::spawn(kv::Config::default()).await;
    let first = claims(&kv, "a").await;
    let keys = keys(400);
    let mut series = AttemptSeries::new(1, 1);
    let kept_until_ms = |number: usize| if number.is_multiple_of(2) { u64::MAX } else { 1 };
    for (number, key) in keys.iter().enumerate() {
        let id = series.next_id();
        let record = claim(key, id, kept_until_ms(number));
        let status = first.submit(key, fingerprint(), Some(record)).await;
        assert!(matches!(status, Ok(KeyStatus::Pending(_))), "{status:?}");
        let settle = ClaimRecord::Settle { key: key.clone(), from: id, outcome: outcome() };
        first
            .submit(key, fingerprint(), Some(settle))
            .await
            .expect("the key-value service is available");
    }
    let ledger = LedgerClient::new(
        KvClient::new(kv.address),
        LedgerKeys::new(format!("/cassiagw/claims/{SHARD:02}")),
    );
    let mut snapshot = None;
    for _ in 0..500 {
        snapshot = ledger.load().await.expect("the key-value service is available").snapshot;
        if snapshot.is_some() {
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    let through = snapshot.expect("the records reach the size of a snapshot").revision;
    assert!(through > 0 && through <= 2 * keys.len() as u64);
    let successor = claims(&kv, "b").await;
    for (number, key) in keys.iter().enumerate() {
        let status = successor
            .submit(key, fingerprint(), None)
            .await
            .expect("the key-value service is available");
        let is_settled = status == KeyStatus::Settled(outcome());
        let may_be_dropped = number % 2 == 1 && (2 * number as u64) < through;
        assert!(is_settled || may_be_dropped && status == KeyStatus::Free, "{number}");
        assert!(!(is_settled && number == 1), "the first expired claim is still in the snapshot");
    }
}

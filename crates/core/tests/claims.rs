//! Property tests of claims: shards and attempt logs against unbounded reference models, batching
//! of appends, and key validation.

use cassiagw_core::{
    claims::{
        Answer, Attempt, AttemptLimits, AttemptLog, AttemptSeries, Batch, Body, ClaimKey,
        ClaimRecord, ClaimShard, CommitLimits, Fingerprint, GroupCommit, KeyAge, KeyAgeError,
        KeyLimits, KeyStatus, MAX_INLINE_BODY_BYTES, OpenDecision, Outcome, Resolved,
        split_attempt_id,
    },
    ids::AttemptId,
};
use proptest::{collection::vec, prelude::*};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

fn fingerprint(content: u8) -> Fingerprint {
    Fingerprint::of([[content].as_slice()])
}

fn attempt(id: AttemptId) -> Attempt {
    Attempt { id, endpoint: "e".into(), boot: 1, claimant: "entry".into() }
}

fn outcome(id: Option<AttemptId>) -> Outcome {
    let whole = |id: AttemptId| Body::Whole(id.to_le_bytes().to_vec());
    id.map_or(Outcome::Unknown, |id| {
        Outcome::Answered(Answer { status: 200, content_type: None, body: whole(id) })
    })
}

fn record() -> impl Strategy<Value = ClaimRecord> {
    let key = (0..3u8).prop_map(|key| ClaimKey::new("w", format!("k{key}")));
    let id = 1..6 as AttemptId;
    (0..5u8, key, id.clone(), id, 0..2u8, any::<bool>()).prop_map(
        |(kind, key, from, to, content, is_answered)| match kind {
            0 => ClaimRecord::Claim {
                key,
                fingerprint: fingerprint(content),
                attempt: attempt(to),
                kept_until_ms: 100,
            },
            1 => ClaimRecord::Retarget { key, from, attempt: attempt(to) },
            2 => ClaimRecord::Release { key, from },
            // All claims are kept until 100, so an expiry at 99 removes none and one at 100 all.
            3 => ClaimRecord::Expire { unix_ms: 99 + u64::from(content) },
            _ => ClaimRecord::Settle { key, from, outcome: outcome(is_answered.then_some(from)) },
        },
    )
}

/// Reference model of a key's status, computed by replaying its full history.
fn reference_key_status(
    history: &[ClaimRecord],
    key: &ClaimKey,
    content: Fingerprint,
) -> KeyStatus {
    // Fingerprint, attempt, whether the key was released, outcome.
    let mut current: Option<(Fingerprint, AttemptId, bool, Option<Outcome>)> = None;
    for record in history.iter().filter(|record| record.key().is_none_or(|about| about == key)) {
        current = match (current, record.clone()) {
            (_, ClaimRecord::Expire { unix_ms: 100 }) => None,
            (None, ClaimRecord::Claim { fingerprint, attempt, .. }) => {
                Some((fingerprint, attempt.id, false, None))
            }
            (Some((_, id, true, _)), ClaimRecord::Claim { fingerprint, attempt, .. })
                if attempt.id != id =>
            {
                Some((fingerprint, attempt.id, false, None))
            }
            (Some((content, id, false, None)), ClaimRecord::Retarget { from, attempt, .. })
                if from == id =>
            {
                Some((content, attempt.id, false, None))
            }
            (Some((content, id, false, None)), ClaimRecord::Release { from, .. }) if from == id => {
                Some((content, id, true, None))
            }
            (
                Some((content, id, false, None | Some(Outcome::Unknown))),
                ClaimRecord::Settle { from, outcome, .. },
            ) if from == id => Some((content, id, false, Some(outcome))),
            (current, _) => current,
        };
    }
    match current {
        None | Some((_, _, true, _)) => KeyStatus::Free,
        Some((held, ..)) if held != content => KeyStatus::Conflict,
        Some((_, _, _, Some(outcome))) => KeyStatus::Settled(outcome),
        Some((_, id, ..)) => KeyStatus::Pending(attempt(id)),
    }
}

#[derive(Clone, Copy, Debug)]
enum AttemptOp {
    Open,
    Resolve,
    End,
}

proptest! {
    #[test]
    fn a_shard_matches_the_replay_of_its_history(
        records in vec(record(), 0..60),
        snapshot_at in 0..60usize,
    ) {
        let mut shard = ClaimShard::default();
        for (at, record) in records.iter().enumerate() {
            if at == snapshot_at {
                shard = ClaimShard::from_snapshot(&shard.snapshot()).expect("snapshot is valid");
            }
            let json = serde_json::to_vec(record).expect("plain data");
            shard.apply(serde_json::from_slice(&json).expect("record is valid JSON"));
            for (key, content) in (0..3).flat_map(|key| [(key, 0), (key, 1)]) {
                let key = ClaimKey::new("w", format!("k{key}"));
                let expected = reference_key_status(&records[..=at], &key, fingerprint(content));
                prop_assert_eq!(shard.key_status(&key, fingerprint(content)), expected);
            }
        }
    }

    /// Regardless of evictions, an attempt runs at most once, a sealed attempt never runs, and an
    /// attempt that ran is never reported as not arrived.
    #[test]
    fn a_bounded_attempt_log_keeps_attempts_at_most_once(
        ops in vec((0..4usize, 0..12u64, 0..3u8), 0..200),
        max_closed in 1..6usize,
        max_series in 1..3usize,
    ) {
        let limits = AttemptLimits { max_closed, max_series, max_answer_bytes: 50 };
        let mut log = AttemptLog::new(7, limits);
        let (mut ran, mut sealed) = (BTreeSet::new(), BTreeSet::new());
        let series: Vec<_> = (0..4).map(|number| AttemptSeries::new(number, number)).collect();
        for (number, sequence, op) in ops {
            let mut series = series[number].clone();
            let id = (0..=sequence).map(|_| series.next_id()).last().expect("at least one");
            prop_assert_eq!(split_attempt_id(id).1, sequence + 1);
            match [AttemptOp::Open, AttemptOp::Resolve, AttemptOp::End][usize::from(op)] {
                AttemptOp::Open => {
                    prop_assert_eq!(log.open(id, Some(8)), OpenDecision::WrongBoot);
                    if log.open(id, Some(7)) == OpenDecision::Run {
                        prop_assert!(!sealed.contains(&id), "a sealed attempt was admitted");
                        prop_assert!(ran.insert(id), "an attempt was admitted twice");
                    }
                }
                AttemptOp::Resolve => {
                    if log.resolve(id) == Resolved::Sealed {
                        prop_assert!(!ran.contains(&id), "an attempt that ran was sealed");
                        sealed.insert(id);
                    }
                }
                AttemptOp::End => log.end(id, (), 20),
            }
            prop_assert!(log.len() <= log.running() + max_closed);
        }
    }

    #[test]
    fn every_record_is_appended_once_and_in_order(
        pushes in vec((0..30u64, any::<bool>()), 1..60),
        max_batch_bytes in 1..2_000usize,
    ) {
        let limits = CommitLimits { max_batch_bytes, ..CommitLimits::default() };
        let mut commit = GroupCommit::new(limits);
        let mut now = Instant::now();
        let (mut appended, mut appends, start) = (Vec::new(), 0, now);
        let mut take = |commit: &mut GroupCommit<usize>, now: Instant| {
            let Batch::Append(batch) = commit.poll(now) else { return };
            assert!(!batch.is_empty() && matches!(commit.poll(now), Batch::Idle));
            appends += 1;
            let allowed = (now - start).as_millis() / limits.interval.as_millis();
            assert!(appends <= u128::from(limits.burst) + 1 + allowed);
            appended.extend(batch.into_iter().map(|(_, number)| number));
            commit.finish();
        };
        for (number, (wait_ms, is_claim)) in pushes.iter().enumerate() {
            now += Duration::from_millis(*wait_ms);
            let key = ClaimKey::new("w", number.to_string());
            let record = match is_claim {
                true => ClaimRecord::Release { key, from: 1 },
                false => ClaimRecord::Settle { key, from: 1, outcome: Outcome::Unknown },
            };
            commit.push(now, record, number).expect("the queue is not full");
            take(&mut commit, now);
        }
        while !commit.is_empty() {
            now += Duration::from_millis(10);
            take(&mut commit, now);
        }
        prop_assert_eq!(appended, (0..pushes.len()).collect::<Vec<_>>());
    }

    #[test]
    fn key_validation_does_not_panic(key in "\\PC{0,60}", unix_ms in any::<u64>()) {
        let _ = KeyAge::check(&key, unix_ms, &KeyLimits::default());
    }
}

struct KeyCase {
    name: &'static str,
    key: &'static str,
    unix_ms: u64,
    expected: Result<KeyAge, KeyAgeError>,
}

/// Timestamp of the dated keys below.
const CREATED_MS: u64 = 0x0189_aaaa_bbbb;

#[test]
fn the_age_of_a_key_follows_its_uuid_timestamp() {
    let limits = KeyLimits::default();
    let (retention_ms, skew_ms) = (3_600_000, 300_000);
    let dated = "0189aaaa-bbbb-7ccc-8ddd-eeeeeeeeeeee";
    let version_4 = "0189aaaa-bbbb-4ccc-8ddd-eeeeeeeeeeee";
    let case = |name, key, unix_ms, expected| KeyCase { name, key, unix_ms, expected };
    let cases = [
        case("just created", dated, CREATED_MS, Ok(KeyAge::Dated(CREATED_MS))),
        case(
            "just before expiry",
            dated,
            CREATED_MS + retention_ms - 1,
            Ok(KeyAge::Dated(CREATED_MS)),
        ),
        case(
            "expired",
            dated,
            CREATED_MS + retention_ms,
            Err(KeyAgeError::Expired(limits.retention)),
        ),
        case(
            "clock behind within skew",
            dated,
            CREATED_MS - skew_ms,
            Ok(KeyAge::Dated(CREATED_MS)),
        ),
        case("clock behind beyond skew", dated, CREATED_MS - skew_ms - 1, Ok(KeyAge::Undated)),
        case("UUIDv4", version_4, CREATED_MS + retention_ms, Ok(KeyAge::Undated)),
        case("not a UUID", "order-17", 0, Ok(KeyAge::Undated)),
        case("empty", "", 0, Err(KeyAgeError::Malformed(256))),
        case("contains a space", "a b", 0, Err(KeyAgeError::Malformed(256))),
    ];
    for case in cases {
        let age = KeyAge::check(case.key, case.unix_ms, &limits);
        assert_eq!(age, case.expected, "{}", case.name);
    }
    let kept = KeyAge::Dated(CREATED_MS).kept_until_ms(CREATED_MS + 5, &limits);
    assert_eq!(kept, CREATED_MS + retention_ms + skew_ms, "no clock accepts the key after that");
}

#[test]
fn a_long_answer_is_stored_as_its_digest() {
    let longest = vec![7; MAX_INLINE_BODY_BYTES];
    assert_eq!(Body::from_bytes(longest.clone()), Body::Whole(longest.clone()));
    let longer = [longest, vec![7]].concat();
    let (blake3, bytes) = (*blake3::hash(&longer).as_bytes(), longer.len() as u64);
    assert_eq!(Body::from_bytes(longer), Body::Digest { blake3, bytes });
}

#[test]
fn keys_reach_every_shard_and_fingerprints_delimit_parts() {
    let shards = (0..200).map(|key| ClaimKey::new("w", key.to_string()).shard());
    let counts = shards.fold(BTreeMap::new(), |mut counts: BTreeMap<u32, u32>, shard| {
        *counts.entry(shard).or_default() += 1;
        counts
    });
    assert_eq!(counts.len(), 16, "some shards have no keys: {counts:?}");
    assert_ne!(
        Fingerprint::of([b"ab".as_slice(), b"c"]),
        Fingerprint::of([b"a".as_slice(), b"bc"])
    );
}

//! Measures memory, ledger and snapshot bytes per claim for several shard sizes, and memory per
//! retained attempt.
//!
//! `cargo run --release -p cassiagw-core --example claim_memory`

use cassiagw_core::claims::{
    Answer, Attempt, AttemptLimits, AttemptLog, AttemptSeries, Body, ClaimKey, ClaimRecord,
    ClaimShard, Fingerprint, Outcome,
};

/// Size of each stored answer body, in bytes.
const ANSWER_BYTES: usize = 200;
/// Shard sizes to measure, in claims.
const CLAIM_COUNTS: [usize; 3] = [10_000, 100_000, 400_000];
/// Size of a memory page, in bytes; `/proc/self/statm` counts in pages.
const PAGE_BYTES: usize = 4_096;

fn main() {
    measure_attempts();
    for count in CLAIM_COUNTS {
        let mut series = AttemptSeries::new(1, 1);
        let before = resident_bytes();
        let mut shard = ClaimShard::default();
        let mut record_bytes = 0;
        for number in 0..count {
            for record in records(number, &mut series) {
                record_bytes += serde_json::to_vec(&record).map_or(0, |json| json.len());
                shard.apply(record);
            }
        }
        let claim_bytes = resident_bytes().saturating_sub(before) / count;
        let snapshot_bytes = shard.snapshot().len() / count;
        println!(
            "claims={count} memory_bytes_per_claim={claim_bytes} \
             record_bytes_per_claim={} snapshot_bytes_per_claim={snapshot_bytes}",
            record_bytes / count
        );
    }
}

fn measure_attempts() {
    let before = resident_bytes();
    let limits = AttemptLimits::default();
    let mut log = AttemptLog::new(1, limits);
    let mut series = AttemptSeries::new(1, 1);
    for _ in 0..10 * limits.max_closed {
        let id = series.next_id();
        log.open(id, Some(1));
        log.end(id, vec![b'x'; ANSWER_BYTES], ANSWER_BYTES);
    }
    let bytes = resident_bytes().saturating_sub(before);
    println!("attempts={} memory_bytes_per_attempt={}", log.len(), bytes / log.len());
}

fn records(number: usize, series: &mut AttemptSeries) -> [ClaimRecord; 2] {
    // A hyphenated UUIDv7.
    let key = ClaimKey::new("workspace-17", format!("0189aaaa-bbbb-7ccc-8ddd-{number:012x}"));
    let id = series.next_id();
    let attempt = Attempt {
        id,
        endpoint: "warehouse-application-1".into(),
        boot: 0x1234_5678_9abc_def0,
        claimant: "entry-za-12".into(),
    };
    let fingerprint = Fingerprint::of([number.to_le_bytes().as_slice()]);
    let body = Body::Whole(vec![b'x'; ANSWER_BYTES]);
    let content_type = Some("application/json".into());
    let outcome = Outcome::Answered(Answer { status: 200, content_type, body });
    let kept_until_ms = 1_700_000_000_000;
    [
        ClaimRecord::Claim { key: key.clone(), fingerprint, attempt, kept_until_ms },
        ClaimRecord::Settle { key, from: id, outcome },
    ]
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

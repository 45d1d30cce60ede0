//! Measures claims per second and per write on a rate-limited key-value service, with batched
//! appends (`mode=gathered`) and with one append per record (`mode=single`), and how fast claims
//! are refused during an outage.
//!
//! `cargo run --release -p cassiagwd --example claim_rate [WRITES_PER_S]`

use cassiagw_core::claims::{
    Answer, Attempt, AttemptSeries, Body, ClaimKey, ClaimRecord, CommitLimits, Fingerprint,
    KeyStatus, Outcome, SubmitError,
};
use cassiagw_rpc::PeerInfo;
use cassiagw_standins::{kv, server::Down};
use cassiagwd::{
    claims::{Claims, ClaimsConfig},
    control::{self, ControlConfig, ControlHandle},
};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep},
};

/// Duration for which claims are submitted.
const SUBMIT_DURATION: Duration = Duration::from_secs(8);
/// Time limit for appending the last outcomes.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Rates at which claims are submitted, per second.
const RATES: [u32; 3] = [50, 1_000, 4_000];
/// Body size of each stored answer, in bytes.
const ANSWER_BYTES: usize = 200;
/// Write rate of the key-value service if none is given, per second.
const DEFAULT_WRITES_PER_S: f64 = 300.0;

struct Measurement {
    claimed: usize,
    refused: usize,
    writes: u64,
    longest_request_bytes: u64,
    p50: Duration,
    p99: Duration,
}

#[tokio::main]
async fn main() {
    let writes_per_s = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let writes_per_s = writes_per_s.unwrap_or(DEFAULT_WRITES_PER_S);
    let single = CommitLimits { interval: Duration::ZERO, max_batch_bytes: 0, ..batched() };
    for rate in RATES {
        for (name, commit) in [("gathered", batched()), ("single", single)] {
            let measurement = measure(rate, commit, writes_per_s).await;
            println!(
                "mode={name} writes_per_s={writes_per_s} offered_per_s={rate} claims={} \
                 refused={} claims_per_s={:.0} writes={} claims_per_write={:.1} p50_ms={:.1} \
                 p99_ms={:.1} longest_request_bytes={}",
                measurement.claimed,
                measurement.refused,
                measurement.claimed as f64 / SUBMIT_DURATION.as_secs_f64(),
                measurement.writes,
                measurement.claimed as f64 / measurement.writes.max(1) as f64,
                measurement.p50.as_secs_f64() * 1e3,
                measurement.p99.as_secs_f64() * 1e3,
                measurement.longest_request_bytes,
            );
        }
    }
    for down in [Down::Refuse, Down::Unavailable, Down::Hang] {
        outage(down).await;
    }
}

/// Measures and prints how long it takes to refuse a claim while the key-value service is down.
async fn outage(down: Down) {
    let kv = kv::spawn(kv::Config::default()).await;
    let control = control(&kv).await;
    let claims = Claims::spawn(&ClaimsConfig::new("entry".into(), vec![kv.address]), &control);
    while !claims.statuses().iter().all(|status| status.is_complete) {
        sleep(Duration::from_millis(20)).await;
    }
    kv.set_faults(|faults| faults.answers.down = down);
    let mut times = Vec::new();
    for number in 0..100 {
        let key = ClaimKey::new("chiclayo", format!("order-{number}"));
        let fingerprint = Fingerprint::of([key.key.as_bytes()]);
        let attempt =
            Attempt { id: number, endpoint: "w".into(), boot: 1, claimant: "entry".into() };
        let record =
            ClaimRecord::Claim { key: key.clone(), fingerprint, attempt, kept_until_ms: u64::MAX };
        let start = Instant::now();
        let result = claims.submit(&key, fingerprint, Some(record)).await;
        assert_eq!(result, Err(SubmitError { is_known_free: true }));
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    println!("outage={down:?} refusals=100 p50_ms={:.1} max_ms={:.1}", times[50], times[99]);
}

fn batched() -> CommitLimits {
    CommitLimits::default()
}

async fn measure(rate: u32, commit: CommitLimits, writes_per_s: f64) -> Measurement {
    let kv = kv::spawn(kv::Config::default()).await;
    kv.set_faults(|faults| faults.writes_per_s = Some(writes_per_s));
    let control = control(&kv).await;
    let cfg = ClaimsConfig { commit, ..ClaimsConfig::new("entry".into(), vec![kv.address]) };
    let claims = Claims::spawn(&cfg, &control);
    // Waits for the initial read of the shards, which is not part of the measurement.
    sleep(Duration::from_millis(500)).await;
    let before = kv.records();
    let times = offer(&claims, rate).await;
    claims.flush(FLUSH_TIMEOUT).await;
    let after = kv.records();
    let mut latencies = times.iter().copied().flatten().collect::<Vec<_>>();
    latencies.sort_unstable();
    let percentile = |percent: usize| {
        latencies.get(latencies.len() * percent / 100).copied().unwrap_or_default()
    };
    Measurement {
        claimed: latencies.len(),
        refused: times.len() - latencies.len(),
        writes: after.writes - before.writes,
        longest_request_bytes: after.longest_request_bytes,
        p50: percentile(50),
        p99: percentile(99),
    }
}

/// Submits claims at a constant rate and an outcome for each one recorded; returns the latency of
/// each claim, `None` for one that was not recorded.
async fn offer(claims: &Claims, rate: u32) -> Vec<Option<Duration>> {
    let series = Arc::new(Mutex::new(AttemptSeries::new(1, 1)));
    let mut tasks = JoinSet::new();
    let mut ticks = interval(Duration::from_millis(10));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let total = rate as usize * SUBMIT_DURATION.as_secs() as usize;
    let claims_per_batch = total / (SUBMIT_DURATION.as_millis() as usize / 10);
    let (claims_per_batch, ticks_per_batch) =
        if claims_per_batch == 0 { (1, 1_000 / rate as usize / 10) } else { (claims_per_batch, 1) };
    let mut sent = 0;
    while sent < total {
        for _ in 0..ticks_per_batch {
            ticks.tick().await;
        }
        for _ in 0..claims_per_batch {
            let id = series.lock().expect("not poisoned").next_id();
            tasks.spawn(claim(claims.clone(), sent, id));
            sent += 1;
        }
    }
    tasks.join_all().await
}

async fn claim(claims: Claims, number: usize, id: u128) -> Option<Duration> {
    let key = ClaimKey::new("chiclayo", format!("order-{number}"));
    let fingerprint = Fingerprint::of([key.key.as_bytes()]);
    let attempt =
        Attempt { id, endpoint: "warehouse-1".into(), boot: 1, claimant: "entry-1".into() };
    let record =
        ClaimRecord::Claim { key: key.clone(), fingerprint, attempt, kept_until_ms: u64::MAX };
    let start = Instant::now();
    let status = claims.submit(&key, fingerprint, Some(record)).await;
    let latency = start.elapsed();
    let Ok(KeyStatus::Pending(_)) = status else { return None };
    let body = Body::from_bytes(vec![b'x'; ANSWER_BYTES]);
    let outcome = Outcome::Answered(Answer { status: 200, content_type: None, body });
    let settle = ClaimRecord::Settle { key: key.clone(), from: id, outcome };
    claims.settle(key, fingerprint, settle);
    Some(latency)
}

async fn control(kv: &kv::Handle) -> ControlHandle {
    let local_peer = PeerInfo {
        daemon: "entry".into(),
        boot: 1,
        zone: "z".into(),
        address: ([127, 0, 0, 1], 1).into(),
        is_entry: true,
    };
    control::spawn(&ControlConfig::new(local_peer, vec![kv.address])).await
}

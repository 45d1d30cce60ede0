use super::process_usage::ProcessUsage;
use crate::{
    client::{Caller, CompletionCall, CompletionResult},
    fleet::{EngineSpec, Fleet, FleetError, FleetSpec, caller_token},
    report::Percentiles,
};
use cassiagw_surfaces::http::HttpRequest;
use futures::future::join_all;
use serde_json::json;
use std::{fmt, path::PathBuf, time::Duration};

/// Name of the model used in the measurement.
const MODEL: &str = "hop";
/// Interval between two generated tokens, in microseconds: the upper limit set by the requirements.
const DECODE_PER_TOKEN_US: u64 = 58_000;
/// Number of tokens generated per completion.
const MAX_TOKENS: u32 = 40;
/// Number of concurrent completions.
const CONCURRENT: usize = 400;
/// Number of rounds of `CONCURRENT` completions.
const ROUNDS: usize = 2;

/// Latency, CPU and memory overhead of the two daemons on the path of a prompt.
#[derive(Clone, Debug)]
pub struct HopMeasurement {
    first_token_direct: Percentiles,
    first_token_via_daemons: Percentiles,
    total_direct: Percentiles,
    total_via_daemons: Percentiles,
    tokens: u64,
    requests: u64,
    entry: ProcessUsage,
    endpoint: ProcessUsage,
}

impl fmt::Display for HopMeasurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
        let per_token = |cpu: Duration| cpu.as_secs_f64() * 1e6 / self.tokens as f64;
        write!(f, "requests={} tokens={}", self.requests, self.tokens)?;
        write!(f, " first_direct_p95_ms={:.2}", millis(self.first_token_direct.p95))?;
        write!(f, " first_through_p95_ms={:.2}", millis(self.first_token_via_daemons.p95))?;
        write!(f, " total_direct_p95_ms={:.1}", millis(self.total_direct.p95))?;
        write!(f, " total_through_p95_ms={:.1}", millis(self.total_via_daemons.p95))?;
        write!(f, " entry_cpu_us_per_token={:.1}", per_token(self.entry.cpu))?;
        write!(f, " endpoint_cpu_us_per_token={:.1}", per_token(self.endpoint.cpu))?;
        write!(f, " entry_rss_kib={}", self.entry.resident_kib)?;
        write!(f, " endpoint_rss_kib={}", self.endpoint.resident_kib)
    }
}

/// Measures completions of an engine that is called directly and through an entry and an endpoint
/// daemon.
///
/// # Errors
/// A process cannot be started or its usage cannot be read.
pub async fn measure_hop(programs: PathBuf) -> Result<HopMeasurement, FleetError> {
    let fleet = Fleet::start(spec(programs)).await?;
    let caller = Caller::default();
    let endpoint = &fleet.endpoints[0];
    // Warms the endpoint up so that its daemon no longer limits the load.
    run_rounds(|index| send_via_daemons(&fleet, &caller, index)).await;
    let direct = run_rounds(|index| send_direct(endpoint.upstream, &caller, index)).await;
    let before = daemon_usage(&fleet)?;
    let via_daemons = run_rounds(|index| send_via_daemons(&fleet, &caller, index)).await;
    let after = daemon_usage(&fleet)?;
    Ok(HopMeasurement {
        first_token_direct: first_token_percentiles(&direct),
        first_token_via_daemons: first_token_percentiles(&via_daemons),
        total_direct: Percentiles::of(direct.iter().map(|result| result.total)),
        total_via_daemons: Percentiles::of(via_daemons.iter().map(|result| result.total)),
        tokens: via_daemons
            .iter()
            .map(|result| result.text.split_whitespace().count() as u64)
            .sum(),
        requests: via_daemons.len() as u64,
        entry: after.0.since(&before.0),
        endpoint: after.1.since(&before.1),
    })
}

fn spec(programs: PathBuf) -> FleetSpec {
    let concurrent = CONCURRENT as u32;
    let config = json!({
        "model": MODEL,
        "max_running": concurrent,
        "prefill_lanes": concurrent,
        "decode_per_token_us": DECODE_PER_TOKEN_US,
    });
    FleetSpec {
        programs,
        region: "hop".to_owned(),
        zones: vec!["hop-a".to_owned()],
        entries: 1,
        engines: vec![EngineSpec { model: MODEL.to_owned(), config }],
        services: Vec::new(),
        stores: Vec::new(),
        workspaces: vec!["hop".to_owned()],
        piece_tokens: 1_000,
        max_running: concurrent,
        cold_running: concurrent,
    }
}

async fn run_rounds<F: Future<Output = CompletionResult>>(
    send: impl Fn(usize) -> F,
) -> Vec<CompletionResult> {
    let mut results = Vec::new();
    for round in 0..ROUNDS {
        let numbers = round * CONCURRENT..(round + 1) * CONCURRENT;
        results.extend(join_all(numbers.map(&send)).await);
    }
    results
}

async fn send_via_daemons(fleet: &Fleet, caller: &Caller, index: usize) -> CompletionResult {
    let call = CompletionCall {
        token: caller_token("hop"),
        model: MODEL.to_owned(),
        prompt: format!("question {index}"),
        max_tokens: MAX_TOKENS,
        priority: "interactive".to_owned(),
    };
    caller.complete(fleet.entries[0], &call).await
}

async fn send_direct(
    engine: std::net::SocketAddr,
    caller: &Caller,
    index: usize,
) -> CompletionResult {
    let document = json!({
        "request_id": format!("{index:032x}"),
        "model": MODEL,
        "prompt": format!("question {index}"),
        "max_tokens": MAX_TOKENS,
        "cache_salt": "hop",
        "stream": true,
    });
    caller.stream(engine, HttpRequest::new_json("/v1/completions", &document)).await
}

fn first_token_percentiles(results: &[CompletionResult]) -> Percentiles {
    Percentiles::of(results.iter().filter_map(|result| result.first_token))
}

fn daemon_usage(fleet: &Fleet) -> Result<(ProcessUsage, ProcessUsage), FleetError> {
    let read = |pid| ProcessUsage::read(pid).map_err(FleetError::Io);
    Ok((read(fleet.entry_pids[0])?, read(fleet.endpoints[0].daemon_pid)?))
}

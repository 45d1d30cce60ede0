use crate::scenario::{Policy, Scenario};
use std::{collections::BTreeMap, time::Duration};

#[derive(Default)]
pub struct Tally {
    /// Times from arrival to first token, by phase of the arrival and workspace. Phases are numbered
    /// from 0; each change of the scenario begins the next.
    pub first_tokens: BTreeMap<(usize, &'static str), Vec<Duration>>,
    pub refused: u32,
    pub expired: u32,
    /// Started requests that complete after their deadline.
    pub late: u32,
    /// Starts beyond the number of requests that a cold engine can handle.
    pub overload_cold: u32,
    /// Requests enqueued at endpoints of a zone that is out.
    pub late_zone_work: u32,
    /// Requests of the last phase, and how many of them were served in zone 0.
    pub last_phase: (u32, u32),
    /// Tokens of complete pieces that engines computed, out of `prompt_tokens`.
    pub computed: u64,
    pub prompt_tokens: u64,
}
fn p95_ms(latencies: &mut [Duration]) -> u128 {
    latencies.sort_unstable();
    latencies.get(latencies.len() * 95 / 100).map_or(0, Duration::as_millis)
}
pub fn print(scenario: &Scenario, policy: Policy, seed: u64, mut tally: Tally) {
    let policy = match policy {
        Policy::Cassiagw => "cassiagw",
        Policy::Plain => "plain",
        Policy::RampPerEntry => "ramp_per_entry",
        Policy::StrictPriority => "strict_priority",
        Policy::NoReserve => "no_reserve",
    };
    let p95: Vec<String> = tally
        .first_tokens
        .iter_mut()
        .map(|((phase, workspace), latencies)| {
            format!("p95_ms_{workspace}_phase{phase}={}", p95_ms(latencies))
        })
        .collect();
    println!(
        "scenario={} policy={policy} seed={seed} {} refused={} expired={} late={} overload_cold={} late_zone_work={} recomputed={:.3} zone_share={:.3}",
        scenario.name,
        p95.join(" "),
        tally.refused,
        tally.expired,
        tally.late,
        tally.overload_cold,
        tally.late_zone_work,
        tally.computed as f64 / tally.prompt_tokens as f64,
        f64::from(tally.last_phase.1) / f64::from(tally.last_phase.0.max(1)),
    );
}

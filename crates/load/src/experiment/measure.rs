use super::{baseline_arm::run_baseline, events::event_time, our_arm::run_cassiagw};
use crate::{
    arms::{ArmOutcome, Placement},
    fleet::FleetError,
    report::{Measurement, first_tokens},
    scenario::{EventKind, Scenario},
    trace::{Arrival, Trace, ideal_recomputed_share, workspace_name},
};
use serde_json::Value;
use std::{collections::BTreeMap, path::PathBuf, time::Duration};

/// Runs the three arms of a scenario sequentially on the same trace.
///
/// # Errors
/// A process cannot be started or its records cannot be read.
pub async fn measure(
    scenario: &Scenario,
    seed: u64,
    programs: PathBuf,
) -> Result<Measurement, FleetError> {
    let trace = Trace::new(scenario, seed);
    let engine_cache_pieces = scenario.engine_cache_pieces * scenario.site.replicas;
    let capacity = engine_cache_pieces + scenario.store_cache_pieces * scenario.site.stores;
    let round_robin =
        run_baseline(scenario, &trace, Placement::RoundRobin, programs.clone()).await?;
    let sticky = run_baseline(scenario, &trace, Placement::Sticky, programs.clone()).await?;
    let (cassiagw, outcome, _) = run_cassiagw(scenario, &trace, programs.clone()).await?;
    let neighbour = match scenario.neighbour_per_second > 0.0 {
        true => Some(neighbour_p95s(scenario, &trace, &outcome, programs).await?),
        false => None,
    };
    Ok(Measurement {
        scenario: scenario.name,
        seed,
        round_robin,
        sticky,
        cassiagw,
        recomputed_share_ideal: ideal_recomputed_share(&trace, capacity),
        zone_move: zone_move_p95s(scenario, &outcome),
        neighbour,
    })
}

/// Runs only the cassiagw arm of a scenario. Returns two lines: the summary of the arm and the
/// cache counters of the endpoint daemons.
///
/// # Errors
/// A process cannot be started or its records cannot be read.
pub async fn run_cassiagw_only(
    scenario: &Scenario,
    seed: u64,
    programs: PathBuf,
) -> Result<String, FleetError> {
    let trace = Trace::new(scenario, seed);
    let (cassiagw, _, records) = run_cassiagw(scenario, &trace, programs).await?;
    Ok(format!("{}{}\n", cassiagw.line("cassiagw"), cache_counts(&records.dumps)))
}

/// Cache counters summed over the endpoint daemons, as key=value pairs.
fn cache_counts(dumps: &[Value]) -> String {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    let counts = dumps.iter().filter_map(|dump| dump["endpoint"]["cache"]["counts"].as_object());
    counts.flatten().for_each(|(name, count)| {
        *sums.entry(name).or_default() += count.as_u64().unwrap_or_default();
    });
    sums.iter().map(|(name, sum)| format!("{name}={sum} ")).collect()
}

/// p95 time to first token of the prompts sent from the time the zone was taken out, and of those
/// sent before it, excluding a warm-up period; `None` if the scenario takes no zone out.
fn zone_move_p95s(scenario: &Scenario, outcome: &ArmOutcome) -> Option<(Duration, Duration)> {
    let out = event_time(scenario, EventKind::ZoneOut)?;
    let warm_up = scenario.mean_interval.min(out / 2);
    let before = first_tokens(outcome, |arrival| (warm_up..out).contains(&arrival.at));
    let during = first_tokens(outcome, |arrival| arrival.at >= out);
    Some((during.p95, before.p95))
}

/// p95 time to first token of the small workspaces with the noisy neighbour, and without it.
async fn neighbour_p95s(
    scenario: &Scenario,
    trace: &Trace,
    with_neighbour: &ArmOutcome,
    programs: PathBuf,
) -> Result<(Duration, Duration), FleetError> {
    let neighbour = workspace_name(0);
    let is_from_neighbour = |arrival: &Arrival| arrival.workspace == neighbour;
    let (_, without_neighbour, _) =
        run_cassiagw(scenario, &trace.without(is_from_neighbour), programs).await?;
    let p95 =
        |outcome: &ArmOutcome| first_tokens(outcome, |arrival| !is_from_neighbour(arrival)).p95;
    Ok((p95(with_neighbour), p95(&without_neighbour)))
}

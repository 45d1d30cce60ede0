use super::{baseline_arm::run_baseline, events::time_of, our_arm::run_ours};
use crate::{
    arms::{ArmOutcome, Placement},
    fleet::FleetError,
    report::{Measurement, first_tokens},
    scenario::{EventKind, Scenario},
    trace::{Arrival, Trace, ideal_recomputed_share, workspace_name},
};
use std::{path::PathBuf, time::Duration};

/// Runs a scenario's three arms on one trace, one after the other.
///
/// # Errors
/// A process does not start or its records cannot be read.
pub async fn measure(
    scenario: &Scenario,
    seed: u64,
    programs: PathBuf,
) -> Result<Measurement, FleetError> {
    let trace = Trace::new(scenario, seed);
    let engine_pieces = scenario.engine_pieces * scenario.site.replicas;
    let capacity = engine_pieces + scenario.store_pieces * scenario.site.stores;
    let naive = run_baseline(scenario, &trace, Placement::RoundRobin, programs.clone()).await?;
    let sticky = run_baseline(scenario, &trace, Placement::Sticky, programs.clone()).await?;
    let (ours, outcome) = run_ours(scenario, &trace, programs.clone()).await?;
    let neighbour = match scenario.neighbour_per_second > 0.0 {
        true => Some(beside_and_alone(scenario, &trace, &outcome, programs).await?),
        false => None,
    };
    Ok(Measurement {
        scenario: scenario.name,
        seed,
        naive,
        sticky,
        ours,
        recomputed_share_ideal: ideal_recomputed_share(&trace, capacity),
        zone_move: during_and_before(scenario, &outcome),
        neighbour,
    })
}

/// p95 of the first tokens that were asked for while a zone was out, and before.
fn during_and_before(scenario: &Scenario, outcome: &ArmOutcome) -> Option<(Duration, Duration)> {
    let out = time_of(scenario, EventKind::ZoneOut)?;
    let warm_up = scenario.mean_gap.min(out / 2);
    let before = first_tokens(outcome, |arrival| (warm_up..out).contains(&arrival.at));
    let during = first_tokens(outcome, |arrival| arrival.at >= out);
    Some((during.p95, before.p95))
}

/// p95 of the small workspaces beside the big neighbour, and without it.
async fn beside_and_alone(
    scenario: &Scenario,
    trace: &Trace,
    beside: &ArmOutcome,
    programs: PathBuf,
) -> Result<(Duration, Duration), FleetError> {
    let big = workspace_name(0);
    let is_big = |arrival: &Arrival| arrival.workspace == big;
    let (_, alone) = run_ours(scenario, &trace.without(is_big), programs).await?;
    let p95 = |outcome: &ArmOutcome| first_tokens(outcome, |arrival| !is_big(arrival)).p95;
    Ok((p95(beside), p95(&alone)))
}

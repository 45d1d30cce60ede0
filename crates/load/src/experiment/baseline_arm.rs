use super::{
    deployment::deployment,
    events::{event_faults, run_events},
};
use crate::{
    arms::{ArmOutcome, DirectRouter, Placement, replay_trace},
    fleet::{BaselineFleet, FleetError, read_json, set_faults},
    report::{ArmRecords, ArmSummary},
    scenario::{EventKind, Scenario},
    trace::Trace,
};
use cassiagw_surfaces::http::HttpClient;
use std::path::PathBuf;
use tokio::time::Instant;

/// Runs a baseline on a trace with its own engines and plain services.
///
/// Zone changes reach a baseline immediately, without any propagation delay.
pub async fn run_baseline(
    scenario: &Scenario,
    trace: &Trace,
    placement: Placement,
    programs: PathBuf,
) -> Result<ArmSummary, FleetError> {
    let fleet = BaselineFleet::start(&deployment(scenario, programs))?;
    let all = fleet.engines.iter().map(|(_, address)| *address).collect();
    let router = DirectRouter::new(
        placement,
        all,
        &fleet.services,
        scenario.site.model,
        scenario.max_tokens,
    );
    let start = Instant::now();
    let http = HttpClient::default();
    let events =
        run_events(&scenario.events, start, |kind| apply_event(kind, &fleet, &router, &http));
    let replay = replay_trace(trace, start, |arrival| router.send(arrival));
    let (outcome, ()) = tokio::join!(replay, events);
    summarize(&fleet, &http, &outcome).await
}

async fn apply_event(
    kind: EventKind,
    fleet: &BaselineFleet,
    router: &DirectRouter,
    http: &HttpClient,
) {
    let zone = fleet.engines[0].0.as_str();
    let engines = |include_zone: bool| {
        let selected = fleet.engines.iter().filter(|(of, _)| include_zone || of != zone);
        selected.map(|(_, address)| *address).collect()
    };
    match kind {
        EventKind::ZoneOut => router.set_engines(engines(false)),
        EventKind::ZoneIn => router.set_engines(engines(true)),
        EventKind::TurnCold => {
            let Some(faults) = event_faults(kind) else { return };
            for (_, engine) in fleet.engines.iter().step_by(3) {
                if let Err(error) = set_faults(http, *engine, &faults).await {
                    log::warn!(event = "faults_not_set", error:% = error; "");
                }
            }
        }
        EventKind::KvDown | EventKind::KvUp => {}
    }
}

async fn summarize(
    fleet: &BaselineFleet,
    http: &HttpClient,
    outcome: &ArmOutcome,
) -> Result<ArmSummary, FleetError> {
    let mut records = ArmRecords::default();
    for (_, engine) in &fleet.engines {
        records.engines.push(read_json(http, *engine, "/admin/records").await?);
    }
    for service in &fleet.services {
        records.services.push(read_json(http, *service, "/admin/records").await?);
    }
    Ok(ArmSummary::new(outcome, &records))
}

use super::{
    deployment::deployment,
    events::{event_faults, late_runs, run_events, unix_ms},
};
use crate::{
    arms::{ArmOutcome, EntryRouter, replay_trace},
    fleet::{Fleet, FleetError},
    report::{ArmRecords, ArmSummary},
    scenario::{EventKind, Scenario},
    trace::{Arrival, ArrivalKind, Trace, workspace_name},
};
use cassiagw_surfaces::http::HttpRequest;
use futures::future::join_all;
use hyper::Method;
use serde_json::{Value, json};
use std::{
    path::PathBuf,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use tokio::time::Instant;

/// Number of short prompts sent concurrently per warm-up round.
const WARM_UP_PROMPTS: usize = 120;
/// Number of warm-up rounds after which the run fails if an endpoint is still not warm.
const MAX_WARM_UP_ROUNDS: usize = 200;
/// Warmth of an endpoint that may receive its full load.
const FULL_WARMTH_PERMILLE: u64 = 1_000;

/// Times at which a zone was taken out and brought back, in milliseconds since the Unix epoch; zero
/// if that has not happened.
#[derive(Default)]
struct ZoneChangeTimes {
    out_ms: AtomicU64,
    in_ms: AtomicU64,
}

/// Runs cassiagw on a trace. Returns the summary, the results of the callers and the records of the
/// stand-ins.
pub async fn run_cassiagw(
    scenario: &Scenario,
    trace: &Trace,
    programs: PathBuf,
) -> Result<(ArmSummary, ArmOutcome, ArmRecords), FleetError> {
    let fleet = Fleet::start(deployment(scenario, programs)).await?;
    let site = &scenario.site;
    let router = EntryRouter::new(&fleet.entries, site.model, site.service, scenario.max_tokens);
    let zone_times = ZoneChangeTimes::default();
    if !scenario.turns_cold() {
        warm_up(&fleet, &router).await?;
    }
    let start = Instant::now();
    let events = run_events(&scenario.events, start, |kind| apply_event(kind, &fleet, &zone_times));
    let replay = replay_trace(trace, start, |arrival| router.send(arrival));
    let (outcome, ()) = tokio::join!(replay, events);
    let mut records = read_records(&fleet, &zone_times).await?;
    records.duration = start.elapsed();
    Ok((ArmSummary::new(&outcome, &records), outcome, records))
}

/// Sends short prompts until every endpoint daemon allows its engine the full load.
///
/// The engines of all arms start warm, but the daemons have no way to know that and ramp the load
/// up gradually.
async fn warm_up(fleet: &Fleet, router: &EntryRouter) -> Result<(), FleetError> {
    for round in 0..MAX_WARM_UP_ROUNDS {
        let prompts = (0..WARM_UP_PROMPTS).map(|number| router.send(warm_up_prompt(round, number)));
        join_all(prompts).await;
        if all_endpoints_warm(fleet).await? {
            return Ok(());
        }
    }
    Err(FleetError::NotReady(format!(
        "endpoints did not reach full load within {MAX_WARM_UP_ROUNDS} warm-up rounds"
    )))
}

fn warm_up_prompt(round: usize, number: usize) -> Arrival {
    Arrival {
        at: Duration::ZERO,
        workspace: workspace_name(0),
        kind: ArrivalKind::Prompt {
            context: 0,
            prompt: format!("warm up {round} {number}").into(),
            tokens: 4,
            is_interactive: true,
            is_return: false,
        },
    }
}

async fn all_endpoints_warm(fleet: &Fleet) -> Result<bool, FleetError> {
    for endpoint in fleet.endpoints.iter().filter(|endpoint| endpoint.is_engine) {
        let dump = fleet.read(endpoint.admin, "/dump").await?;
        if dump["endpoint"]["load"]["warmth_permille"] != FULL_WARMTH_PERMILLE {
            return Ok(false);
        }
    }
    Ok(true)
}

async fn apply_event(kind: EventKind, fleet: &Fleet, zone_times: &ZoneChangeTimes) {
    let result = match kind {
        EventKind::ZoneOut => set_zone(fleet, "out", &zone_times.out_ms).await,
        EventKind::ZoneIn => set_zone(fleet, "in", &zone_times.in_ms).await,
        EventKind::TurnCold => turn_cold(fleet).await,
        EventKind::KvDown | EventKind::KvUp => {
            fleet.set_faults(fleet.kv, &event_faults(kind).unwrap_or_default()).await
        }
    };
    if let Err(error) = result {
        log::warn!(event = "event_failed", kind:? = kind, error:% = error; "");
    }
}

/// Sets the state of the first zone and records the time of the change: before the request when the
/// zone is brought back, after it when the zone is taken out, so that only runs that started while
/// the zone was certainly out are counted as late.
async fn set_zone(fleet: &Fleet, state: &str, changed_at_ms: &AtomicU64) -> Result<(), FleetError> {
    let zone = fleet.spec.zone(0);
    let value = json!({"region": fleet.spec.region, "state": state});
    let path = format!("/v1/settings/zones/{zone}");
    let req = HttpRequest::new(Method::PUT, path).with_body(value.to_string());
    if state == "in" {
        changed_at_ms.store(unix_ms(), Ordering::Relaxed);
    }
    fleet.send_as_operator(req).await?;
    if state == "out" {
        changed_at_ms.store(unix_ms(), Ordering::Relaxed);
    }
    Ok(())
}

async fn turn_cold(fleet: &Fleet) -> Result<(), FleetError> {
    let engines = fleet.endpoints.iter().filter(|endpoint| endpoint.is_engine);
    for engine in engines.step_by(3) {
        let faults = event_faults(EventKind::TurnCold).unwrap_or_default();
        fleet.set_faults(engine.upstream, &faults).await?;
    }
    Ok(())
}

async fn read_records(
    fleet: &Fleet,
    zone_times: &ZoneChangeTimes,
) -> Result<ArmRecords, FleetError> {
    let mut records = ArmRecords::default();
    let out_ms = zone_times.out_ms.load(Ordering::Relaxed);
    let in_ms = zone_times.in_ms.load(Ordering::Relaxed);
    for endpoint in &fleet.endpoints {
        let record: Value = fleet.read(endpoint.upstream, "/admin/records").await?;
        match endpoint.is_engine {
            true => {
                if out_ms > 0 && endpoint.zone == fleet.spec.zone(0) {
                    records.late_zone_work += late_runs(&record, out_ms, in_ms);
                }
                records.engines.push(record);
            }
            false => records.services.push(record),
        }
    }
    for endpoint in fleet.endpoints.iter().filter(|endpoint| endpoint.is_engine) {
        records.dumps.push(fleet.read(endpoint.admin, "/dump").await?);
    }
    for store in &fleet.stores {
        records.stores.push(fleet.read(*store, "/admin/records").await?);
    }
    Ok(records)
}

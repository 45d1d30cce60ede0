use crate::scenario::{Event, EventKind, Scenario};
use serde_json::{Value, json};
use std::{
    future::Future,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::time::{Instant, sleep_until};

/// Maximum time for taking an availability zone out to take effect: after it, the engines of the
/// zone must not start new requests.
pub const ZONE_DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Applies each event at its scheduled time after `start`.
pub async fn run_events<F>(events: &[Event], start: Instant, apply: impl Fn(EventKind) -> F)
where
    F: Future<Output = ()>,
{
    for event in events {
        sleep_until(start + event.at).await;
        apply(event.kind).await;
    }
}

/// Milliseconds since the Unix epoch, the time base of the stand-ins' records.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Fault settings for the stand-in that implement an event; `None` for zone events, which are set
/// by the operators.
pub fn event_faults(kind: EventKind) -> Option<Value> {
    match kind {
        EventKind::TurnCold => Some(json!({"turn_cold": true})),
        EventKind::KvDown => Some(json!({"down": "unavailable"})),
        EventKind::KvUp => Some(json!({"down": "no"})),
        EventKind::ZoneOut | EventKind::ZoneIn => None,
    }
}

/// Time of the first event of a kind; `None` if the scenario has no such event.
pub fn event_time(scenario: &Scenario, kind: EventKind) -> Option<Duration> {
    scenario.events.iter().find(|event| event.kind == kind).map(|event| event.at)
}

/// Counts the runs that an engine started while its zone was out, excluding the first
/// [`ZONE_DRAIN_TIMEOUT`] after the zone was taken out.
pub fn late_runs(records: &Value, out_ms: u64, in_ms: u64) -> u64 {
    let drain_deadline_ms = out_ms + ZONE_DRAIN_TIMEOUT.as_millis() as u64;
    let runs = records["runs"].as_array().into_iter().flatten();
    let starts = runs.filter_map(|run| run["start_ms"].as_u64());
    starts.filter(|start| (drain_deadline_ms..in_ms).contains(start)).count() as u64
}
